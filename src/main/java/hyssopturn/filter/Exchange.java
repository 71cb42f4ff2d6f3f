package hyssopturn.filter;

import hyssopturn.model.AccountId;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.RequestId;
import hyssopturn.model.WorkClass;

import java.util.Optional;
import java.util.function.BooleanSupplier;

/** A request and the state that filters attach to it on its way through the filter chain. */
public final class Exchange {
    private final RequestId request;
    private final Call call;
    private final Config config;
    private final long arrivedNanos;
    private AccountId account;
    private WorkClass workClass;
    private BooleanSupplier maySend = () -> true;

    /**
     * Creates an exchange.
     *
     * @param request the request
     * @param call the call as the caller sent it
     * @param config configuration in force when it arrived
     * @param arrivedNanos when it arrived, on the node's monotonic clock
     */
    public Exchange(RequestId request, Call call, Config config, long arrivedNanos) {
        this.request = request;
        this.call = call;
        this.config = config;
        this.arrivedNanos = arrivedNanos;
    }

    /**
     * A call as the caller sent it.
     *
     * @param workClass class of work that the caller named
     * @param bearer bearer token, if given
     * @param key idempotency key, if given
     * @param input input of the call
     */
    public record Call(
            ClassName workClass, Optional<String> bearer, Optional<String> key, Input input) {}

    /** Input of a call. */
    public sealed interface Input {
        /**
         * A prompt for a model.
         *
         * @param prompt text of the prompt
         * @param maxTokens maximum number of tokens of the answer
         */
        record Text(String prompt, int maxTokens) implements Input {}

        /**
         * A body for a service.
         *
         * @param body body as JSON
         */
        record Json(Bytes body) implements Input {}
    }

    RequestId request() {
        return request;
    }

    Call call() {
        return call;
    }

    Config config() {
        return config;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    AccountId account() {
        return account;
    }

    void account(AccountId value) {
        account = value;
    }

    WorkClass workClass() {
        return workClass;
    }

    void workClass(WorkClass value) {
        workClass = value;
    }

    /** Returns the check, made right before each send, whether the request may still be sent. */
    BooleanSupplier maySend() {
        return maySend;
    }

    void maySend(BooleanSupplier value) {
        maySend = value;
    }
}
