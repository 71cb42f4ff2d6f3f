package hyssopturn.wire;

import hyssopturn.helper.Causes;
import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.EngineClient;
import hyssopturn.port.InDoubtException;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Model engines over HTTP. */
public final class HttpEngines implements EngineClient {
    private static final JsonObject NO_BODY = new JsonObject();

    /** Idle timeout of short calls. */
    private static final Duration SHORT = Duration.ofSeconds(2);

    private final HttpCaller caller;

    /**
     * Creates the adapter.
     *
     * @param caller makes the calls
     */
    public HttpEngines(HttpCaller caller) {
        this.caller = caller;
    }

    @Override
    public CompletableFuture<StepResult> step(Address engine, Step step, Dial dial) {
        return caller.json(HttpMethod.POST, engine, "/v1/steps", Codec.step(step), dial)
                .thenApply(Codec::result);
    }

    @Override
    public CompletableFuture<Void> cancel(Address engine, RequestId request, int attempt) {
        String path = "/v1/runs/" + request + "?attempt=" + attempt;
        return withRetry(dial -> caller.json(HttpMethod.DELETE, engine, path, NO_BODY, SHORT, dial))
                .thenApply(json -> null);
    }

    @Override
    public CompletableFuture<KvState> exportKv(
            Address engine, RequestId request, LayerRange layers) {
        String path = "/v1/runs/%s/kv?from=%d&to=%d".formatted(request, layers.from(), layers.to());
        return caller.json(HttpMethod.GET, engine, path, NO_BODY, Dial.POOLED).thenApply(Codec::kv);
    }

    @Override
    public CompletableFuture<Void> importKv(
            Address engine, RequestId request, int attempt, KvState state) {
        String path = "/v1/runs/" + request + "/kv?attempt=" + attempt;
        return caller.json(HttpMethod.PUT, engine, path, Codec.kv(state), Dial.POOLED)
                .thenApply(json -> null);
    }

    @Override
    public CompletableFuture<EngineReport> report(Address engine) {
        return withRetry(
                        dial ->
                                caller.json(
                                        HttpMethod.GET, engine, "/v1/report", NO_BODY, SHORT, dial))
                .thenApply(Codec::report);
    }

    @Override
    public CompletableFuture<Void> order(Address engine, Order order) {
        JsonObject body = Codec.order(order);
        return withRetry(
                        dial -> caller.json(HttpMethod.PUT, engine, "/v1/order", body, SHORT, dial))
                .thenApply(json -> null);
    }

    /** Makes an idempotent call and, if no answer arrives, retries it once on a new connection. */
    private static CompletableFuture<JsonObject> withRetry(
            Function<Dial, CompletableFuture<JsonObject>> call) {
        return call.apply(Dial.POOLED)
                .exceptionallyCompose(
                        error ->
                                Causes.unwrap(error) instanceof InDoubtException
                                        ? call.apply(Dial.FRESH)
                                        : CompletableFuture.failedFuture(error));
    }
}
