package hyssopturn.wire;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.EngineClient;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

import java.util.concurrent.CompletableFuture;

/** Model engines over HTTP. */
public final class HttpEngines implements EngineClient {
    private static final JsonObject NO_BODY = new JsonObject();

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
        return caller.json(HttpMethod.DELETE, engine, path, NO_BODY, Dial.POOLED)
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
        return caller.json(HttpMethod.GET, engine, "/v1/report", NO_BODY, Dial.POOLED)
                .thenApply(Codec::report);
    }

    @Override
    public CompletableFuture<Void> order(Address engine, Order order) {
        return caller.json(HttpMethod.PUT, engine, "/v1/order", Codec.order(order), Dial.POOLED)
                .thenApply(json -> null);
    }
}
