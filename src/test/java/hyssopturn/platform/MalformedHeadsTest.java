package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.oneOf;

import hyssopturn.model.LayerRange;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Heads of messages that HTTP does not allow, from a caller or from an endpoint. */
class MalformedHeadsTest {
    private static final String EVENT = "id: 0\ndata: a\n\n";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int ANSWER_SECONDS = 5;

    /** Number of requests, of which some are sent to each of two endpoints first. */
    private static final int REPEATS = 4;

    private final RelayHarness harness = new RelayHarness();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    @AfterEach
    void close() {
        harness.close();
        vertx.close().await();
    }

    private RelayHarness.Answer call(String path) {
        return CompletableFuture.supplyAsync(() -> harness.call(path, Map.of()))
                .orTimeout(ANSWER_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private void startEndpoint(String header, String body, Optional<LayerRange> layers) {
        startEndpoint("200 OK", header, body, layers);
    }

    private void startEndpoint(
            String status, String header, String body, Optional<LayerRange> layers) {
        String answer =
                "HTTP/1.1 "
                        + status
                        + "\r\nHyssopturn-Attempt-Id: r1\r\nHyssopturn-Server-Seal: s\r\n"
                        + header
                        + "\r\n\r\n"
                        + body;
        RawServer server = new RawServer(vertx, answer, RawServer.End.CLOSED);
        harness.announce("a", server.address(), layers);
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Odd: a\u0001b", "X-Odd: \u00e9", "X(Odd): a", "X Odd: a", ": a"})
    void inAnAnswerDoNotLeaveTheRequestWithoutOne(String header) {
        startEndpoint(header, "found", Optional.empty());
        assertThat(call("/look/a").status(), oneOf(OK, BAD_GATEWAY));
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Odd: a\u0001b", "X-Odd: \u00e9", "X(Odd): a", "X Odd: a", ": a"})
    void inAStreamDoNotLeaveTheRequestWithoutAnAnswer(String header) {
        startEndpoint(header, EVENT, Optional.of(new LayerRange(0, 80)));
        assertThat(call("/write/a").status(), oneOf(OK, BAD_GATEWAY));
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Odd: a\u0001b", "X-Odd: \u00e9", "X(Odd): a", "X Odd: a", ": a"})
    void inARequestDoNotExcludeTheEndpointForOthers(String header) throws IOException {
        try (ScriptedPlatform platform =
                        new ScriptedPlatform(
                                Configs.version(1), r -> RelayHarness.signed(r).end("found"));
                KeptConnection odd = new KeptConnection(platform.front());
                KeptConnection sound = new KeptConnection(platform.front())) {
            sound.awaitServed("/look/x");
            odd.sendRaw(odd.request("POST", "/look/x", header + "\r\n", "a"));
            assertThat(odd.read().status(), oneOf(OK, BAD_REQUEST));
            sound.send("/look/x");
            assertThat(sound.read().status(), equalTo(OK));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0 Odd",
                "000 Odd",
                "000",
                "1 Odd",
                "99 Odd",
                "100 Continue",
                "101 Odd",
                "199 Odd",
                "600 Odd",
                "999 Odd",
                "2000 Odd",
                "Odd"
            })
    void inAStatusLineAreNotPassedOnAsAnAnswer(String status) {
        startEndpoint(status, "X-More: a", "found", Optional.empty());
        assertThat(call("/book/a").status(), equalTo(BAD_GATEWAY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 Odd",
                "1 Odd",
                "99 Odd",
                "101 Odd",
                "199 Odd",
                "600 Odd",
                "999 Odd",
                "2000 Odd",
                "Odd"
            })
    void inTheStatusLineOfAStreamAreNotPassedOnAsAnAnswer(String status) {
        startEndpoint(status, "X-More: a", EVENT, Optional.of(new LayerRange(0, 80)));
        assertThat(call("/write/a").status(), equalTo(BAD_GATEWAY));
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 Odd", "1 Odd", "199 Odd", "600 Odd", "999 Odd", "Odd"})
    void inAStatusLineSendARepeatableRequestToAnotherEndpoint(String status) {
        startEndpoint(status, "X-More: a", "odd", Optional.empty());
        harness.service("b", r -> RelayHarness.signed(r).end("found"));
        for (int i = 0; i < REPEATS; i++) {
            assertThat(call("/look/a").status(), equalTo(OK));
        }
    }
}
