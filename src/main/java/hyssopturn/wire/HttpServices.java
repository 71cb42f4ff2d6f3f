package hyssopturn.wire;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.ServiceClient;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Plain services over HTTP. */
public final class HttpServices implements ServiceClient {
    private final HttpCaller caller;
    private final Duration timeout;

    /**
     * Creates the adapter.
     *
     * @param caller makes the calls
     * @param timeout idle timeout of a call
     */
    public HttpServices(HttpCaller caller, Duration timeout) {
        this.caller = caller;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<ServiceAnswer> call(Address service, ServiceCall call, Dial dial) {
        Buffer body = Codec.call(call).toBuffer();
        return caller.call(HttpMethod.POST, service, "/v1/calls", body, timeout, dial)
                .thenApply(answer -> new ServiceAnswer(Bytes.wrap(answer.getBytes())));
    }
}
