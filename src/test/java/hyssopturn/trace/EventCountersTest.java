package hyssopturn.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.junit.jupiter.api.Test;

import java.io.OutputStream;

class EventCountersTest {
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final EventCounters counters = new EventCounters(meters);

    private double count(String event, String cause, String outcome) {
        return meters.get("hyssopturn.events")
                .tags("event", event, "cause", cause, "outcome", outcome)
                .counter()
                .count();
    }

    @Test
    void decisionsAreCountedByCauseAndOutcome() {
        counters.accept(new TraceEvent.Rerouted("r1", "e1=0-80", "engine leaves", true));
        counters.accept(new TraceEvent.Rerouted("r2", "e2=0-80", "engine leaves", true));
        counters.accept(new TraceEvent.Rerouted("r3", "e2=0-80", "engine leaves", false));
        assertThat(count("Rerouted", "engine leaves", "done"), equalTo(2.0));
        assertThat(count("Rerouted", "engine leaves", "refused"), equalTo(1.0));
    }

    @Test
    void idsAndAddressesInResultsAreNotUsedAsLabels() {
        counters.accept(new TraceEvent.Ordered("e1", "0-9", 1, "no answer: 10.0.0.1:80 is away"));
        counters.accept(new TraceEvent.Ordered("e2", "0-9", 1, "no answer: 10.0.0.2:80 is away"));
        assertThat(count("Ordered", "", "no answer"), equalTo(2.0));
    }

    @Test
    void eventsWhoseLinesAreDroppedAreCounted() {
        try (TraceLog log =
                new TraceLog(
                        "n1",
                        new VirtualClock(1_000),
                        OutputStream.nullOutputStream(),
                        1,
                        counters)) {
            for (int i = 0; i < 5; i++) {
                log.record(new TraceEvent.Reloaded(true));
            }
        }
        assertThat(count("Reloaded", "", "changed"), equalTo(5.0));
    }
}
