package hyssopturn.platform;

import hyssopturn.model.Address;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.RefusedException;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Small calls whose whole answer is wanted within a time. */
final class HttpCalls {
    private final HttpClient client;

    HttpCalls(HttpClient client) {
        this.client = client;
    }

    /** What was answered. */
    record Answer(int status, Buffer body) {}

    /**
     * Calls, and gives up after a time.
     *
     * @return the answer; fails with {@link RefusedException} if nothing was sent and with {@link
     *     InDoubtException} if it may have been
     */
    CompletableFuture<Answer> call(
            HttpMethod method,
            Address to,
            String uri,
            Map<String, String> headers,
            Buffer body,
            Duration timeout) {
        CompletableFuture<Answer> result = new CompletableFuture<>();
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(to.host())
                        .setPort(to.port())
                        .setURI(uri)
                        .setConnectTimeout(timeout.toMillis())
                        .setIdleTimeout(timeout.toMillis());
        headers.forEach(options::putHeader);
        client.request(options)
                .onFailure(
                        e ->
                                result.completeExceptionally(
                                        new RefusedException(
                                                RefusedException.Reason.UNREACHABLE,
                                                to + ": " + e.getMessage())))
                .onSuccess(request -> send(request, body, result));
        return result;
    }

    private static void send(
            HttpClientRequest request, Buffer body, CompletableFuture<Answer> result) {
        request.send(body)
                .compose(
                        response ->
                                response.body()
                                        .map(bytes -> new Answer(response.statusCode(), bytes)))
                .onComplete(
                        result::complete,
                        e -> {
                            request.reset();
                            result.completeExceptionally(
                                    new InDoubtException(
                                            "no answer: " + e.getClass().getSimpleName(), e));
                        });
    }
}
