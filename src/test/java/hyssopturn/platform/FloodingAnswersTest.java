package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import hyssopturn.model.LayerRange;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Guards against faulty answers that occupy the event loop, so that other callers, whose endpoints
 * are sound, get their answers late.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FloodingAnswersTest {
    private static final String SIGNATURE = "Hyssopturn-Server-Seal: s\r\n";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\n" + SIGNATURE + "Transfer-Encoding: chunked\r\n\r\n";
    private static final int FAULTY_ANSWERS = 12;
    private static final int SOUND_CALLS = 150;

    /** How much later than without the fault an answer may come. */
    private static final long MAX_DELAY_MILLIS = 50;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int OK = 200;

    private final RelayHarness harness = new RelayHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    @ParameterizedTest
    @CsvSource({
        "a", // chunks of one byte
        "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz", // small chunks
    })
    void ofAPlainServiceDoNotDelayAnswersToOthers(String piece) {
        harness.engine("e", r -> RelayHarness.signed(r).end("id: 0\ndata: t\n\n"));
        try (FloodServer faulty = new FloodServer(CHUNKED, FloodServer.chunk(piece))) {
            assertOthersAreNotDelayed("/write/a", "/book/a", faulty, Optional.empty());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "a", // chunks of one byte
        "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz", // small chunks without a line end
        "'data: a\\n'", // lines of an event without end
        "': a\\n\\n'", // comments
        "'\\n'", // blank lines
    })
    void ofAnEngineDoNotDelayAnswersToOthers(String piece) {
        harness.service("s", r -> RelayHarness.signed(r).end("found"));
        String bytes = piece.replace("\\n", "\n");
        try (FloodServer faulty = new FloodServer(CHUNKED, FloodServer.chunk(bytes))) {
            assertOthersAreNotDelayed(
                    "/find/a", "/once/a", faulty, Optional.of(new LayerRange(0, 80)));
        }
    }

    private void assertOthersAreNotDelayed(
            String soundPath, String faultyPath, FloodServer faulty, Optional<LayerRange> layers) {
        callOthers(soundPath);
        long before = callOthers(soundPath);
        harness.announce("faulty", faulty.address(), layers);
        harness.keepCalling(faultyPath, FAULTY_ANSWERS);
        while (faulty.open() < FAULTY_ANSWERS) {
            Thread.onSpinWait();
        }
        long beside = callOthers(soundPath);
        assertThat(beside - before, lessThan(MAX_DELAY_MILLIS));
    }

    /** Calls a sound endpoint repeatedly; returns the 90th percentile of the time to its answer. */
    private long callOthers(String path) {
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < SOUND_CALLS; i++) {
            long start = System.nanoTime();
            assertThat(harness.call(path, Map.of()).status(), equalTo(OK));
            millis.add((System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        return millis.stream().sorted().skip(SOUND_CALLS * 9L / 10).findFirst().orElseThrow();
    }
}
