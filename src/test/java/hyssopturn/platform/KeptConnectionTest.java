package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.IOException;

/** Requests that share a connection of a caller: none is left without a whole answer. */
class KeptConnectionTest {
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int SLOW_MILLIS = 300;
    private static final int MAX_BODY_BYTES = 65_536;
    private static final int SMALL_PIECES = 4_000;
    private static final int LONG_URI_CHARS = 8_000;

    private final ScriptedPlatform platform = new ScriptedPlatform(Configs.version(1), this::serve);
    private KeptConnection caller;

    @BeforeEach
    void connect() throws IOException {
        caller = new KeptConnection(platform.front());
        caller.awaitServed("/look/x");
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        platform.close();
    }

    private void serve(HttpServerRequest request) {
        if (request.path().endsWith("/slow")) {
            platform.later(SLOW_MILLIS, () -> RelayHarness.signed(request).end("slowly found"));
        } else {
            RelayHarness.signed(request).end("found");
        }
    }

    private String post(String path, String headers, String body) {
        return caller.request("POST", path, headers, body);
    }

    @Test
    void requestsBehindARunningOneAreAnsweredInOrder() throws IOException {
        caller.sendRaw(
                post("/look/slow", "", "a") + post("/book/x", "", "b") + post("/none/", "", "c"));
        assertThat(caller.read().bodyBytes(), equalTo("slowly found".length()));
        assertThat(caller.read().bodyBytes(), equalTo("found".length()));
        assertThat(caller.read().status(), equalTo(NOT_FOUND));
    }

    @Test
    void requestAfterOneThatWasTooLargeIsAnswered() throws IOException {
        String large = "x".repeat(4 * MAX_BODY_BYTES);
        caller.sendRaw(post("/look/x", "", large));
        caller.sendRaw(post("/look/x", "", "a"));
        assertThat(caller.read().status(), equalTo(TOO_LARGE));
        assertThat(caller.read().status(), equalTo(OK));
    }

    /** The body exceeds what is read at once, so its connection is paused in between. */
    @Test
    void bodyInManySmallPiecesIsReadWholeAndTheNextRequestIsAnswered() throws IOException {
        String body = "1\r\nx\r\n".repeat(SMALL_PIECES) + "0\r\n\r\n";
        caller.sendRaw(
                post("/look/x", "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                        + body);
        caller.sendRaw(post("/none/", "", "c"));
        assertThat(caller.read().status(), equalTo(OK));
        assertThat(caller.read().status(), equalTo(NOT_FOUND));
    }

    @Test
    void callerThatLeavesWithinABodyInSmallPiecesHarmsNoOther() throws IOException {
        try (KeptConnection leaver = new KeptConnection(platform.front())) {
            leaver.sendRaw(
                    post("/look/x", "", "")
                                    .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                            + "1\r\nx\r\n".repeat(SMALL_PIECES));
        }
        caller.pause(SLOW_MILLIS);
        caller.send("/look/x");
        assertThat(caller.read().status(), equalTo(OK));
    }

    @Test
    void requestAfterRefusedOnesIsAnswered() throws IOException {
        caller.sendRaw(post("/none/x", "", "a"));
        assertThat(caller.read().status(), equalTo(NOT_FOUND));
        caller.sendRaw(post("/look/x", "", "a").replace(Configs.KEY, "key-none"));
        assertThat(caller.read().status(), equalTo(UNAUTHORIZED));
        caller.send("/look/x");
        assertThat(caller.read().status(), equalTo(OK));
    }

    @Test
    void callerThatWaitsForPermissionToSendItsBodyIsAnswered() throws IOException {
        String request = post("/look/x", "Expect: 100-continue\r\n", "body");
        caller.sendRaw(request.substring(0, request.length() - "body".length()));
        assertThat(caller.read().status(), equalTo(100));
        caller.sendRaw("body");
        assertThat(caller.read().status(), equalTo(OK));
        caller.send("/look/x");
        assertThat(caller.read().status(), equalTo(OK));
    }

    @Test
    void callerOfAnOlderProtocolIsAnswered() throws IOException {
        caller.sendRaw(post("/look/x", "", "a").replace("HTTP/1.1", "HTTP/1.0"));
        assertThat(caller.read().status(), equalTo(OK));
        assertThat(caller.readsEnd(), equalTo(true));
    }

    @Test
    void callerThatAsksForTheEndOfTheConnectionIsAnswered() throws IOException {
        caller.sendRaw(post("/look/slow", "Connection: close\r\n", "a"));
        assertThat(caller.read().status(), equalTo(OK));
        assertThat(caller.readsEnd(), equalTo(true));
    }

    @Test
    void callerThatHasEndedItsSendingHalfCountsAsGone() throws IOException {
        caller.send("/look/slow");
        caller.endSending();
        assertThat(caller.readsEnd(), equalTo(true));
    }

    @ParameterizedTest
    @CsvSource({"/look/,''", "/look/x?,''", "/look/x,X-More: "})
    void requestWithALongHeadWithinTheLimitIsServed(String path, String header) throws IOException {
        String more = "x".repeat(LONG_URI_CHARS);
        caller.sendRaw(
                header.isEmpty()
                        ? post(path + more, "", "a")
                        : post(path, header + more + "\r\n", "a"));
        assertThat(caller.read().status(), equalTo(OK));
        caller.send("/look/x");
        assertThat(caller.read().status(), equalTo(OK));
    }
}
