package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Requests whose headers have values that no sound caller sends. */
class MalformedRequestTest {
    private static final String EVENTS = "id: 0\ndata: t\n\n";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;
    private static final int ANSWER_SECONDS = 5;
    private static final long DEADLINE_MILLIS = 200;

    private final RelayHarness harness = new RelayHarness();

    @BeforeEach
    void startWorkers() {
        harness.service("s1", r -> RelayHarness.signed(r).end("found"));
        harness.engine("e1", r -> RelayHarness.signed(r).setChunked(true).end(EVENTS));
    }

    @AfterEach
    void close() {
        harness.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "Hyssopturn-Deadline-Ms;-9223372036854775808",
                "Hyssopturn-Deadline-Ms;9223372036854775807",
                "Hyssopturn-Deadline-Ms;-1",
                "Hyssopturn-Deadline-Ms;never",
                "Hyssopturn-Token-Counts;9223372036854775807,9223372036854775807",
                "Hyssopturn-Token-Counts;-9223372036854775808,-1",
                "Hyssopturn-Token-Counts;,,",
                "Last-Event-Id;9223372036854775807",
                "Last-Event-Id;-9223372036854775808"
            })
    void isAnsweredAndLeavesTheNextOneUnharmed(String header, String value) {
        for (String path : List.of("/look/x", "/write/x")) {
            CompletableFuture<RelayHarness.Answer> answer =
                    CompletableFuture.supplyAsync(() -> harness.call(path, Map.of(header, value)));
            assertThat(
                    answer.orTimeout(ANSWER_SECONDS, TimeUnit.SECONDS).join().status(),
                    not(INTERNAL_ERROR));
        }
        assertThat(harness.call("/look/x", Map.of()).body(), equalTo("found"));
        assertThat(harness.call("/write/x", Map.of()).body(), equalTo(EVENTS));
    }

    /** Guards against endpoints that count as failed since a request cannot be encoded. */
    @ParameterizedTest
    @ValueSource(strings = {"/look/x", "/write/x"})
    void headThatCannotBeEncodedLeavesEndpointsInUse(String path) {
        harness.encodingFails(true);
        assertThat(harness.call(path, Map.of()).status(), equalTo(BAD_REQUEST));
        harness.encodingFails(false);
        assertThat(harness.statesOf("s1"), hasSize(0));
        assertThat(harness.statesOf("e1"), hasSize(0));
        assertThat(harness.call(path, Map.of()).status(), equalTo(OK));
    }

    @Test
    void unexpectedErrorEndsOneRequestWithAnAnswer() {
        harness.decodingFails(true);
        CompletableFuture<RelayHarness.Answer> answer =
                CompletableFuture.supplyAsync(() -> harness.call("/look/x", Map.of()));
        assertThat(
                answer.orTimeout(ANSWER_SECONDS, TimeUnit.SECONDS).join().status(),
                equalTo(INTERNAL_ERROR));
        harness.decodingFails(false);
        assertThat(harness.call("/look/x", Map.of()).body(), equalTo("found"));
    }

    @Test
    void unexpectedErrorInTheChoiceOfAChainEndsTheRequestOnce() throws InterruptedException {
        harness.chainSearchFails(true);
        Map<String, String> shortDeadline =
                Map.of("Hyssopturn-Deadline-Ms", String.valueOf(DEADLINE_MILLIS));
        assertThat(harness.call("/write/x", shortDeadline).status(), equalTo(INTERNAL_ERROR));
        Thread.sleep(2 * DEADLINE_MILLIS);
        assertThat(harness.outcomes(), equalTo(List.of("error")));
        harness.chainSearchFails(false);
        assertThat(harness.call("/write/x", Map.of()).body(), equalTo(EVENTS));
    }
}
