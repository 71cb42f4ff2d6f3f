package hyssopturn.run;

import hyssopturn.port.ServiceClient.ServiceCall;

import java.util.function.BooleanSupplier;

/**
 * A call of a plain service.
 *
 * @param service name of the service
 * @param call the call
 * @param repeatable true if the call may be executed more than once
 * @param maySend checked right before each send; once false, nothing more is sent
 * @param deadlineNanos time after which the call is not retried, in nanoseconds on the node's
 *     monotonic clock
 */
public record ServiceWork(
        String service,
        ServiceCall call,
        boolean repeatable,
        BooleanSupplier maySend,
        long deadlineNanos) {}
