package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.buffer.Buffer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;

/**
 * Requests within the limits that are sent in unusual ways are served, each with its own answer.
 */
class PipelinedRequestsTest {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int REQUESTS = 300;
    private static final int REFUSED_REQUESTS = 3_000;
    private static final int LARGE_BYTES = 300_000;
    private static final int ONE_BYTE_CHUNKS = 3_000;
    private static final int SHORT_LINES = 3_000;

    private final ScriptedPlatform platform =
            new ScriptedPlatform(
                    Configs.version(1),
                    request ->
                            request.body()
                                    .onSuccess(
                                            body ->
                                                    RelayHarness.signed(request)
                                                            .end(answer(request.path(), body))));

    private static String answer(String path, Buffer body) {
        return path.endsWith("large") ? "x".repeat(LARGE_BYTES) : body.toString();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    private KeptConnection connect() throws IOException {
        KeptConnection caller = new KeptConnection(platform.front());
        caller.awaitServed("/look/x");
        return caller;
    }

    @Test
    void requestsBehindOthersAreAnsweredInOrder() throws IOException {
        try (KeptConnection caller = connect()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++) {
                requests.append(caller.request("POST", "/look/x", "", "b".repeat(i)));
            }
            caller.sendRaw(requests.toString());
            for (int i = 0; i < REQUESTS; i++) {
                KeptConnection.Answer answer = caller.read();
                assertThat(answer.status(), equalTo(OK));
                assertThat(answer.bodyBytes(), equalTo(i));
            }
        }
    }

    @Test
    void manyRefusedRequestsAreAllAnswered() throws IOException {
        try (KeptConnection caller = connect()) {
            String request = "GET /n HTTP/1.1\r\nHost: a\r\n\r\n";
            caller.sendRaw(request.repeat(REFUSED_REQUESTS));
            for (int i = 0; i < REFUSED_REQUESTS; i++) {
                assertThat(caller.read().status(), equalTo(NOT_FOUND));
            }
        }
    }

    @Test
    void largeAnswersBehindEachOtherAreComplete() throws IOException {
        try (KeptConnection caller = connect()) {
            String request = caller.request("POST", "/look/large", "", "");
            caller.sendRaw(request.repeat(3));
            for (int i = 0; i < 3; i++) {
                assertThat(caller.read().bodyBytes(), equalTo(LARGE_BYTES));
            }
        }
    }

    @Test
    void aBodyInOneByteChunksWithExtensionsAndTrailersIsWhole() throws IOException {
        try (KeptConnection caller = connect()) {
            String head =
                    caller.request("POST", "/look/x", "", "").replace("Content-Length: 0", "");
            caller.sendRaw(
                    head.stripTrailing()
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "1;a=b\r\nx\r\n".repeat(ONE_BYTE_CHUNKS)
                            + "0\r\nT: a\r\n\r\n");
            assertThat(caller.read().bodyBytes(), equalTo(ONE_BYTE_CHUNKS));
            caller.send("/look/x");
            assertThat(caller.read().status(), equalTo(OK));
        }
    }

    @Test
    void aHeadOfManyShortLinesWithinTheLimitIsServed() throws IOException {
        try (KeptConnection caller = connect()) {
            String lines = "a:\r\n".repeat(SHORT_LINES);
            caller.sendRaw(caller.request("POST", "/look/x", lines, "body"));
            assertThat(caller.read().status(), equalTo(OK));
        }
    }
}
