package hyssopturn.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.standin.VirtualClock;

import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;

class TraceLogTest {
    private final VirtualClock clock = new VirtualClock(1_000);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private List<String> lines() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void eachEventIsOneJsonLineWithItsFields() throws IOException {
        try (TraceLog log = new TraceLog("n1", clock, out, 10)) {
            log.record(new TraceEvent.ConfigInForce(7, 3, true));
        }
        JsonNode line = new ObjectMapper().readTree(lines().getFirst());
        assertThat(line.path("event").asText(), equalTo("ConfigInForce"));
        assertThat(line.path("node").asText(), equalTo("n1"));
        assertThat(line.path("version").asLong(), equalTo(7L));
    }

    @Test
    void linesBeyondTheLimitAreCountedAndReported() {
        try (TraceLog log = new TraceLog("n1", clock, out, 10)) {
            for (int i = 0; i < 25; i++) {
                log.record(new TraceEvent.ConfigInForce(i, 3, true));
            }
            clock.advance(Duration.ofSeconds(1));
            log.record(new TraceEvent.ConfigInForce(99, 3, true));
        }
        assertThat(lines(), hasSize(12));
        assertThat(lines().get(10), containsString("\"lines\":15"));
    }

    @Test
    void anOutputThatNobodyReadsDoesNotBlockRecording() {
        CountDownLatch never = new CountDownLatch(1);
        OutputStream blocked =
                new OutputStream() {
                    @Override
                    public void write(int b) throws IOException {
                        try {
                            never.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                    }
                };
        TraceLog log = new TraceLog("n1", clock, blocked, 1_000_000);
        int recorded = 0;
        // returns only because recording never waits for the output
        for (int i = 0; i < 20_000; i++) {
            log.record(new TraceEvent.ConfigInForce(i, 3, true));
            recorded++;
        }
        assertThat(recorded, equalTo(20_000));
        assertThat(lines().size(), lessThanOrEqualTo(0));
        never.countDown();
    }
}
