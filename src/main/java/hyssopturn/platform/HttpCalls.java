package hyssopturn.platform;

import hyssopturn.model.Address;
import hyssopturn.port.Clock;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.RefusedException;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.relay.BoundedBody;
import hyssopturn.relay.EndpointClient;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP calls with small answers, which are read completely and within a time limit. */
final class HttpCalls {
    /** Time that a call may take beyond its timeout while bytes of the answer keep arriving. */
    private static final Duration MAX_EXTRA_TIME = Duration.ofSeconds(3);

    private final EndpointClient client;
    private final Clock clock;
    private final AnswerMemory memory;
    private final MeterRegistry meters;
    private final String callee;

    /**
     * Creates a caller.
     *
     * @param client opens requests
     * @param clock clock whose tasks run on the event loop of the client
     * @param memory limits the answers that are read at the same time
     * @param meters registry for the counters of calls and their outcomes
     * @param callee label value of the callees in the counters
     */
    HttpCalls(
            EndpointClient client,
            Clock clock,
            AnswerMemory memory,
            MeterRegistry meters,
            String callee) {
        this.client = client;
        this.clock = clock;
        this.memory = memory;
        this.meters = meters;
        this.callee = callee;
    }

    /** Status, headers and body of an answer. */
    record Answer(int status, MultiMap headers, Buffer body) {}

    /**
     * Sends a call and reads its answer. The call fails after the timeout has passed without a
     * byte, or if the answer has not ended in time.
     *
     * @return the answer; fails with {@link RefusedException} if nothing was sent and with {@link
     *     InDoubtException} if the request may have been sent
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
        Clock.Timer timer =
                clock.after(
                        timeout.plus(MAX_EXTRA_TIME),
                        () ->
                                result.completeExceptionally(
                                        new InDoubtException("answer without end")));
        result.whenComplete(
                (answer, error) -> {
                    timer.cancel();
                    count(uri, answer, error);
                });
        return result;
    }

    private void count(String uri, Answer answer, Throwable error) {
        int query = uri.indexOf('?');
        String outcome =
                switch (error) {
                    case null -> String.valueOf(answer.status());
                    case RefusedException unsent -> "not sent";
                    default -> "no answer";
                };
        meters.counter(
                        "hyssopturn.calls",
                        "callee",
                        callee,
                        "call",
                        query < 0 ? uri : uri.substring(0, query),
                        "outcome",
                        outcome)
                .increment();
    }

    private void send(HttpClientRequest request, Buffer body, CompletableFuture<Answer> result) {
        result.whenComplete(
                (answer, error) -> {
                    if (error != null) {
                        request.reset();
                    }
                });
        request.send(body)
                .compose(
                        response ->
                                BoundedBody.read(response, clock, memory)
                                        .map(
                                                bytes ->
                                                        new Answer(
                                                                response.statusCode(),
                                                                response.headers(),
                                                                bytes)))
                .onComplete(
                        result::complete,
                        e ->
                                result.completeExceptionally(
                                        new InDoubtException(
                                                "no answer: " + e.getClass().getSimpleName(), e)));
    }
}
