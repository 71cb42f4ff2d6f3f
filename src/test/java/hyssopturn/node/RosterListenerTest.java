package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.fleet.TestEndpoints;
import hyssopturn.model.Bytes;
import hyssopturn.port.KeyedLog;
import hyssopturn.standin.VirtualClock;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

class RosterListenerTest {
    private static final int ENGINES = 600;

    private final VirtualClock clock = new VirtualClock(0);
    private final List<TraceEvent> events = new ArrayList<>();
    private final TraceLog trace =
            new TraceLog("n", clock, OutputStream.nullOutputStream(), 10_000, events::add);
    private final RosterListener listener =
            new RosterListener(new Roster(), RosterListenerTest::endpoint, clock, trace);

    @AfterEach
    void close() {
        trace.close();
    }

    private static Endpoint endpoint(KeyedLog.Entry entry) {
        return TestEndpoints.engine(entry.key(), 80, "a", entry.offset());
    }

    private static KeyedLog.Page page(int engines) {
        List<KeyedLog.Entry> entries =
                IntStream.range(0, engines)
                        .mapToObj(i -> new KeyedLog.Entry("e" + i, Optional.of(Bytes.utf8("")), i))
                        .toList();
        return new KeyedLog.Page(entries, engines);
    }

    /** All nodes read the list of all endpoints as they start. */
    @Test
    void aFirstListingIsOneLine() {
        listener.snapshot(page(ENGINES));
        assertThat(events.size(), equalTo(1));
        assertThat(
                events.getFirst() instanceof TraceEvent.EndpointsListed e
                        && e.endpoints().size() == ENGINES,
                is(true));
    }

    @Test
    void aFewChangesHaveALineEach() {
        listener.records(page(RosterListener.MAX_SINGLE_LINES));
        assertThat(events.size(), equalTo(RosterListener.MAX_SINGLE_LINES));
    }

    @Test
    void heartbeatsHaveNone() {
        listener.snapshot(page(ENGINES));
        events.clear();
        listener.records(page(ENGINES));
        assertThat(events.size(), equalTo(0));
    }
}
