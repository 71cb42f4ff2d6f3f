package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Guards against refusals of other requests: taken for proof, they would tell a caller that a
 * request has not run, or send it to a second endpoint, although it ran.
 */
class MisplacedRefusalTest {
    private static final String HOST = "127.0.0.1";
    private static final String OTHER_ID = "another";
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    private final RelayHarness harness = new RelayHarness();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    @AfterEach
    void close() {
        harness.close();
        vertx.close().await();
    }

    private static void refuse(HttpServerRequest request, int status, String id) {
        request.response()
                .setStatusCode(status)
                .putHeader("Hyssopturn-Not-Executed", "1")
                .putHeader("Hyssopturn-Attempt-Id", id)
                .end();
    }

    private static String ownId(HttpServerRequest request) {
        return request.getHeader("Hyssopturn-Attempt-Id");
    }

    /** Starts an endpoint that writes the given bytes on each connection after the first bytes. */
    private Address startEndpoint(AtomicInteger connections, String answer) {
        int port =
                vertx.createNetServer()
                        .connectHandler(
                                socket -> {
                                    connections.incrementAndGet();
                                    answerOnce(socket, answer);
                                })
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        return new Address(HOST, port);
    }

    private static void answerOnce(NetSocket socket, String answer) {
        socket.exceptionHandler(
                e -> {
                    // expected: the relay closes the connection while bytes are in flight
                });
        socket.handler(
                request -> {
                    socket.handler(more -> {});
                    socket.write(answer);
                });
    }

    @Nested
    class OfAPlainEndpoint {
        @ParameterizedTest
        @ValueSource(ints = {400, 408, 421, 429, 503})
        void doesNotProveThatARequestHasNotRun(int status) {
            harness.service("s1", r -> refuse(r, status, OTHER_ID));
            harness.service("s2", r -> refuse(r, status, OTHER_ID));
            assertThat(harness.call("/book/x", Map.of()).status(), equalTo(BAD_GATEWAY));
            assertThat(harness.requestIds(), hasSize(1));
        }

        @Test
        void byItsStatusAloneDoesNotProveThatARequestHasNotRun() {
            harness.service(
                    "s1",
                    r ->
                            r.response()
                                    .setStatusCode(421)
                                    .putHeader("Hyssopturn-Attempt-Id", OTHER_ID)
                                    .end());
            assertThat(harness.call("/book/x", Map.of()).status(), equalTo(BAD_GATEWAY));
        }

        @Test
        void withTheRequestsOwnIdProvesThatItHasNotRun() {
            harness.service("s1", r -> refuse(r, UNAVAILABLE, ownId(r)));
            assertThat(harness.call("/book/x", Map.of()).status(), equalTo(UNAVAILABLE));
        }

        @Test
        void thatClaimsSuccessIsTheAnswerOfARequestThatHasRun() {
            harness.service(
                    "s1",
                    r ->
                            RelayHarness.signed(r)
                                    .putHeader("Hyssopturn-Not-Executed", "1")
                                    .end("done"));
            harness.service(
                    "s2",
                    r ->
                            RelayHarness.signed(r)
                                    .putHeader("Hyssopturn-Not-Executed", "1")
                                    .end("done"));
            assertThat(harness.call("/book/x", Map.of()).body(), equalTo("done"));
            assertThat(harness.requestIds(), hasSize(1));
        }

        /** The endpoint writes an earlier refusal after its answer; no later request may get it. */
        @Test
        void afterAnAnswerReachesNoLaterRequest() {
            AtomicInteger connections = new AtomicInteger();
            String answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nHyssopturn-Server-Seal: s\r\n\r\ndone"
                            + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                            + "Hyssopturn-Not-Executed: 1\r\n\r\n";
            harness.announce("s1", startEndpoint(connections, answer), Optional.empty());
            for (int i = 0; i < 3; i++) {
                RelayHarness.Answer received = harness.call("/book/x", Map.of());
                assertThat(received.status(), equalTo(OK));
                assertThat(received.body(), equalTo("done"));
            }
            assertThat(connections.get(), equalTo(3));
        }

        @ParameterizedTest
        @CsvSource({"102", "103", "199"})
        void beforeTheFinalAnswerIsNoAnswer(int status) {
            String answer =
                    "HTTP/1.1 %d Early\r\nHyssopturn-Server-Seal: s\r\n\r\n".formatted(status)
                            + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                            + "Hyssopturn-Server-Seal: s\r\n\r\ndone";
            harness.announce("s1", startEndpoint(new AtomicInteger(), answer), Optional.empty());
            int received = harness.call("/book/x", Map.of()).status();
            assertThat(received == OK || received == BAD_GATEWAY, equalTo(true));
        }
    }

    @Nested
    class OfAnEngine {
        @ParameterizedTest
        @ValueSource(ints = {421, 429, 503})
        void doesNotProveThatAStreamHasNotRun(int status) {
            harness.engine("e1", r -> refuse(r, status, OTHER_ID));
            assertThat(harness.call("/write/x", Map.of()).status(), equalTo(BAD_GATEWAY));
        }

        @Test
        void withTheRequestsOwnIdProvesThatItHasNotRun() {
            harness.engine("e1", r -> refuse(r, UNAVAILABLE, ownId(r)));
            assertThat(harness.call("/write/x", Map.of()).status(), equalTo(UNAVAILABLE));
        }

        @Test
        void afterAStreamIsNoPartOfIt() {
            String answer =
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nHyssopturn-Server-Seal: s"
                            + "\r\n\r\nf\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n"
                            + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                            + "Hyssopturn-Not-Executed: 1\r\n\r\n";
            harness.announce(
                    "e1",
                    startEndpoint(new AtomicInteger(), answer),
                    Optional.of(new LayerRange(0, 80)));
            RelayHarness.Answer received = harness.call("/write/x", Map.of());
            assertThat(received.body(), equalTo("id: 0\ndata: a\n\n"));
            assertThat(received.complete(), equalTo(true));
        }
    }
}
