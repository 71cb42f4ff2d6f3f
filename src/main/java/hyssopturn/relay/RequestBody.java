package hyssopturn.relay;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/**
 * The whole body of a request, whose bytes are held until no endpoint is being sent them.
 *
 * @param bytes the body
 * @param holding holds the bytes
 */
record RequestBody(Buffer bytes, BodyMemory.Holding holding) {
    /** Returns a body without any bytes, for which no memory is held. */
    static RequestBody empty() {
        return new RequestBody(Buffer.buffer(), new BodyMemory(0).hold(""));
    }

    /**
     * Sends a request with this body.
     *
     * @param request the request, whose connection serves no other
     * @return the answer, of which only the head has been read
     */
    Future<HttpClientResponse> send(HttpClientRequest request) {
        BodyMemory.Sending sending = holding.send(() -> request.connection().close());
        request.end(bytes).onComplete(sent -> sending.end());
        return request.response();
    }
}
