package hyssopturn.port;

import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.RequestId;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Calls to plain services. */
public interface ServiceClient {
    /**
     * Calls a service once.
     *
     * @param service where it listens
     * @param call the call
     * @param dial which connection to use
     * @return its answer; fails with {@link RefusedException} if it certainly did not run, with
     *     {@link InDoubtException} if it may have run and with {@link FailedException} if it ran
     *     and failed
     */
    CompletableFuture<ServiceAnswer> call(
            Address service, ServiceCall call, EngineClient.Dial dial);

    /**
     * A call.
     *
     * @param request request that the call serves
     * @param account account of the caller
     * @param workClass class of work of the request
     * @param key idempotency key of the caller, if given
     * @param body body as JSON
     */
    record ServiceCall(
            RequestId request,
            AccountId account,
            ClassName workClass,
            Optional<String> key,
            Bytes body) {}

    /**
     * An answer.
     *
     * @param body body as JSON
     */
    record ServiceAnswer(Bytes body) {}
}
