package hyssopturn.wire;

import hyssopturn.model.Address;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.FailedException;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.PortException;
import hyssopturn.port.RefusedException;
import hyssopturn.port.RefusedException.Reason;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Makes HTTP calls whose failures show whether the call may have taken effect. */
public final class HttpCaller implements AutoCloseable {
    private static final int OK_LOW = 200;
    private static final int OK_HIGH = 299;

    private final ConnectionPools pools;
    private final Duration timeout;

    /**
     * Creates the caller.
     *
     * @param vertx event loops to run on
     * @param connectTimeout timeout of connecting
     * @param timeout default idle timeout of a call
     */
    public HttpCaller(Vertx vertx, Duration connectTimeout, Duration timeout) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) connectTimeout.toMillis())
                        .setTcpNoDelay(true)
                        .setTcpKeepAlive(true);
        pools = new ConnectionPools(vertx, options, System::nanoTime);
        this.timeout = timeout;
    }

    /**
     * Calls with a JSON body and reads a JSON answer.
     *
     * @param method HTTP method
     * @param to receiver
     * @param path path and query
     * @param body body, empty for none
     * @param dial which connection to use
     * @return the answer; fails with a {@link PortException}
     */
    public CompletableFuture<JsonObject> json(
            HttpMethod method, Address to, String path, JsonObject body, Dial dial) {
        return json(method, to, path, body, timeout, dial);
    }

    /**
     * Calls with a JSON body and an idle timeout of its own, and reads a JSON answer.
     *
     * @param method HTTP method
     * @param to receiver
     * @param path path and query
     * @param body body, empty for none
     * @param idleTimeout idle timeout of the call
     * @param dial which connection to use
     * @return the answer; fails with a {@link PortException}
     */
    public CompletableFuture<JsonObject> json(
            HttpMethod method,
            Address to,
            String path,
            JsonObject body,
            Duration idleTimeout,
            Dial dial) {
        Buffer bytes = body.isEmpty() ? Buffer.buffer() : body.toBuffer();
        return call(method, to, path, bytes, idleTimeout, dial).thenApply(HttpCaller::parse);
    }

    /**
     * Calls with a body and reads the whole answer.
     *
     * @param method HTTP method
     * @param to receiver
     * @param path path and query
     * @param body body, empty for none
     * @param idleTimeout idle timeout of the call
     * @param dial which connection to use
     * @return the body of the answer; fails with a {@link PortException}
     */
    public CompletableFuture<Buffer> call(
            HttpMethod method,
            Address to,
            String path,
            Buffer body,
            Duration idleTimeout,
            Dial dial) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(to.host())
                        .setPort(to.port())
                        .setURI(path)
                        .setIdleTimeout(idleTimeout.toMillis());
        CompletableFuture<Buffer> answer = new CompletableFuture<>();
        client(to, dial, answer)
                .request(options)
                .onFailure(e -> answer.completeExceptionally(unreachable(to, e)))
                .onSuccess(request -> send(to, request, body, answer));
        return answer;
    }

    /** Returns the client for a call; a pool stays open at least until the call has its answer. */
    private HttpClient client(Address to, Dial dial, CompletableFuture<Buffer> answer) {
        if (dial == Dial.POOLED) {
            ConnectionPools.Pool pool = pools.beginCall(to);
            answer.whenComplete((body, error) -> pool.endCall());
            return pool.client();
        }
        pools.discard(to);
        return pools.fresh();
    }

    private void send(
            Address to, HttpClientRequest request, Buffer body, CompletableFuture<Buffer> answer) {
        request.send(body)
                .compose(HttpCaller::readBody)
                .onFailure(e -> answer.completeExceptionally(callFailed(to, e)))
                .onSuccess(answer::complete);
    }

    /** Discards all pooled connections to the receiver, unless the receiver sent an answer. */
    private PortException callFailed(Address to, Throwable cause) {
        if (!(cause instanceof PortException)) {
            pools.discard(to);
        }
        return asPortException(to, cause);
    }

    private static Future<Buffer> readBody(HttpClientResponse response) {
        int status = response.statusCode();
        return response.body()
                .compose(
                        body ->
                                status >= OK_LOW && status <= OK_HIGH
                                        ? Future.succeededFuture(body)
                                        : Future.failedFuture(error(status, body)));
    }

    private static PortException error(int status, Buffer body) {
        try {
            JsonObject json = body.length() == 0 ? new JsonObject() : body.toJsonObject();
            String message = json.getString("message", "status " + status);
            if (json.containsKey("refused")) {
                return new RefusedException(Reason.valueOf(json.getString("refused")), message);
            }
            if (json.containsKey("failed")) {
                return new FailedException(message);
            }
        } catch (DecodeException | IllegalArgumentException | ClassCastException e) {
            return new InDoubtException("answer with status " + status + " is malformed", e);
        }
        return new InDoubtException("answer with status " + status);
    }

    private static PortException unreachable(Address to, Throwable cause) {
        return new RefusedException(Reason.UNREACHABLE, to + ": " + cause.getMessage());
    }

    private static PortException asPortException(Address to, Throwable cause) {
        return cause instanceof PortException known
                ? known
                : new InDoubtException("call to " + to + " broke: " + cause.getMessage(), cause);
    }

    private static JsonObject parse(Buffer body) {
        try {
            return body.length() == 0 ? new JsonObject() : body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            throw new InDoubtException("answer is malformed", e);
        }
    }

    @Override
    public void close() {
        pools.close();
    }
}
