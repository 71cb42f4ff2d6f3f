package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Map;
import java.util.Optional;

/**
 * Guards a stream that broke off after it began: its caller must get the events that follow, or see
 * that the stream is incomplete, whatever the next engine answers.
 */
class ContinuedStreamTest {
    private static final int BEGUN = 3;
    private static final int ALL = 6;
    private static final String HOST = "127.0.0.1";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nHyssopturn-Server-Seal: s\r\n\r\n";

    private final RelayHarness harness = new RelayHarness();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    @AfterEach
    void close() {
        harness.close();
        vertx.close().await();
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id < to; id++) {
            text.append("id: %d\ndata: t%d\n\n".formatted(id, id));
        }
        return text.toString();
    }

    /** Starts two engines that break off a new stream and answer a resumed one as given. */
    private RelayHarness.Answer callResumedBy(Handler<HttpServerRequest> resumed) {
        Handler<HttpServerRequest> engine =
                request -> {
                    if (request.getHeader("Last-Event-Id") == null) {
                        signed(request)
                                .write(events(0, BEGUN))
                                .onComplete(v -> request.connection().close());
                    } else {
                        resumed.handle(request);
                    }
                };
        harness.engine("e1", engine);
        harness.engine("e2", engine);
        return harness.call("/write/x", Map.of());
    }

    private static HttpServerResponse signed(HttpServerRequest request) {
        return RelayHarness.signed(request)
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream");
    }

    private static void assertBroken(RelayHarness.Answer answer) {
        assertThat(answer.status(), equalTo(200));
        assertThat(answer.body(), equalTo(events(0, BEGUN)));
        assertThat(answer.complete(), equalTo(false));
    }

    @Test
    void isCompleteWithTheEventsThatFollow() {
        RelayHarness.Answer answer = callResumedBy(r -> signed(r).end(events(BEGUN, ALL)));
        assertThat(answer.body(), equalTo(events(0, ALL)));
        assertThat(answer.complete(), equalTo(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 302, 400, 404, 409, 500, 502, 504})
    void hasNoPartOfAnAnswerWithAnotherStatus(int status) {
        String body = status == 204 ? "" : "engine failed\n\nid: 3\ndata: none\n\n";
        assertBroken(callResumedBy(r -> signed(r).setStatusCode(status).end(body)));
    }

    @Test
    void hasNoPartOfAnUnprovedRefusal() {
        assertBroken(callResumedBy(r -> signed(r).setStatusCode(503).end("id: 3\ndata: none\n\n")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "error: out of memory\n\n",
                "{\"error\":\"out of memory\"}\n\n",
                "event: error\ndata: out of memory\n\n",
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                "id: x\ndata: none\n\n",
                "id: -1\ndata: none\n\n",
                "id: 9223372036854775808\ndata: none\n\n",
                "id: 7\ndata: none\n\n",
                ": waiting\n\n",
                "\n",
                "",
                "id: 3\ndata: cut",
                "id: 0\ndata: t0\n\n",
                "id: 0\ndata: t0\n\nid: 1\ndata: t1\n\n"
            })
    void isNotCompletedByWhatDoesNotContinueIt(String body) {
        assertBroken(callResumedBy(r -> signed(r).end(body)));
    }

    @Test
    void hasNoPartOfAnAnswerOfAnotherContentType() {
        assertBroken(
                callResumedBy(
                        r ->
                                signed(r)
                                        .putHeader("Content-Type", "application/json")
                                        .end("id: 3\ndata: none\n\n")));
    }

    @Test
    void hasNoPartOfAnAnswerWithoutSignature() {
        assertBroken(
                callResumedBy(r -> r.response().setChunked(true).end("id: 3\ndata: none\n\n")));
    }

    @Test
    void hasNoPartOfAnAnswerToAnotherRequest() {
        assertBroken(
                callResumedBy(
                        r ->
                                signed(r)
                                        .putHeader("Hyssopturn-Attempt-Id", "another")
                                        .end("id: 3\ndata: none\n\n")));
    }

    /** Streams whose end is that of their connection. */
    @Nested
    class WithoutLength {
        private RelayHarness.Answer call(Handler<NetSocket> rest) {
            int port =
                    vertx.createNetServer()
                            .connectHandler(
                                    socket ->
                                            socket.handler(
                                                    request -> {
                                                        socket.handler(more -> {});
                                                        rest.handle(socket);
                                                    }))
                            .listen(0, HOST)
                            .await()
                            .actualPort();
            harness.announce("e1", new Address(HOST, port), Optional.of(new LayerRange(0, 80)));
            return harness.call("/write/x", Map.of("Hyssopturn-Deadline-Ms", "2000"));
        }

        @Test
        void isCompleteIfItEndsAfterAnEvent() {
            RelayHarness.Answer answer = call(s -> s.end(buffer(HEAD + events(0, BEGUN))));
            assertThat(answer.body(), equalTo(events(0, BEGUN)));
            assertThat(answer.complete(), equalTo(true));
        }

        @Test
        void isBrokenIfItEndsWithinAnEvent() {
            assertBroken(call(s -> s.end(buffer(HEAD + events(0, BEGUN) + "id: 3\nda"))));
        }

        @Test
        void hasNoPartOfAFurtherAnswersHead() {
            assertBroken(
                    call(
                            s ->
                                    s.end(
                                            buffer(
                                                    HEAD
                                                            + events(0, BEGUN)
                                                            + "HTTP/1.1 503 Service Unavailable\r\n"
                                                            + "Content-Length: 0\r\n\r\n"))));
        }

        @Test
        void isBrokenIfItsConnectionIsReset() {
            assertBroken(
                    call(
                            s ->
                                    s.write(HEAD + events(0, BEGUN))
                                            .onComplete(v -> vertx.setTimer(100, t -> reset(s)))));
        }
    }

    private static Buffer buffer(String text) {
        return Buffer.buffer(text);
    }

    private static void reset(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
