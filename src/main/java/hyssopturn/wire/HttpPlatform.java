package hyssopturn.wire;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.ModelId;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.Instance;
import hyssopturn.port.InstanceList;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.port.WeightStore;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform over HTTP: log service, instance list and weight store. */
public final class HttpPlatform implements LogService, InstanceList, WeightStore {
    private static final JsonObject NO_BODY = new JsonObject();

    private final HttpCaller caller;
    private final Address platform;
    private final Duration timeout;

    /**
     * Creates the adapter.
     *
     * @param caller makes the calls
     * @param platform where the platform listens
     * @param timeout idle timeout of a call, added to the time that a read waits for records
     */
    public HttpPlatform(HttpCaller caller, Address platform, Duration timeout) {
        this.caller = caller;
        this.platform = platform;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<Long> append(String stream, Bytes data) {
        return caller.call(
                        HttpMethod.POST,
                        platform,
                        "/v1/log/" + stream,
                        Buffer.buffer(data.toArray()),
                        timeout,
                        Dial.POOLED)
                .thenApply(body -> body.toJsonObject().getLong("offset"));
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
        String path =
                "/v1/log/%s?from=%d&max=%d&wait=%d".formatted(stream, from, max, wait.toMillis());
        return caller.call(
                        HttpMethod.GET,
                        platform,
                        path,
                        Buffer.buffer(),
                        timeout.plus(wait),
                        Dial.POOLED)
                .thenApply(body -> Codec.page(body.toJsonObject()));
    }

    @Override
    public CompletableFuture<List<Instance>> list() {
        return caller.json(HttpMethod.GET, platform, "/v1/instances", NO_BODY, Dial.POOLED)
                .thenApply(json -> Codec.list(json.getJsonArray("instances"), Codec::instance));
    }

    @Override
    public CompletableFuture<Void> announce(Instance self) {
        return caller.json(
                        HttpMethod.PUT,
                        platform,
                        "/v1/instances/" + self.id(),
                        Codec.instance(self),
                        Dial.POOLED)
                .thenApply(json -> null);
    }

    @Override
    public CompletableFuture<Weights> describe(ModelId model) {
        String path = "/v1/weights/" + model.name() + "/" + model.version();
        return caller.json(HttpMethod.GET, platform, path, NO_BODY, Dial.POOLED)
                .thenApply(
                        json ->
                                new Weights(
                                        json.getInteger("layers"),
                                        json.getLong("bytesPerLayer"),
                                        json.getLong("bytesPerSecond")));
    }
}
