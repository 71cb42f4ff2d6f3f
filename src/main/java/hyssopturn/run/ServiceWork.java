package hyssopturn.run;

import hyssopturn.port.ServiceClient.ServiceCall;

import java.util.function.BooleanSupplier;

/**
 * A call of a plain service.
 *
 * @param service name of the service
 * @param call the call
 * @param repeatable true if it may run more than once
 * @param maySend asked right before each sending; once false, nothing is sent any more
 * @param deadlineNanos time after which it is not sent again, on the node's monotonic clock
 */
public record ServiceWork(
        String service,
        ServiceCall call,
        boolean repeatable,
        BooleanSupplier maySend,
        long deadlineNanos) {}
