package hyssopturn.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Bytes;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.standin.VirtualClock;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

class StreamRingTest {
    private static final int SETTLED = 8;

    private final VirtualClock clock = new VirtualClock(0);
    private final StreamRing ring =
            new StreamRing(
                    new KeyedFollower.Listener() {
                        @Override
                        public void snapshot(KeyedLog.Page page) {
                            // the ring is tested alone
                        }

                        @Override
                        public void records(KeyedLog.Page page) {
                            // the ring is tested alone
                        }

                        @Override
                        public void readFailed(PortException error) {
                            // the ring is tested alone
                        }
                    },
                    Optional.of(PlatformAdapter::repeats),
                    clock);
    private long next = 100;

    @BeforeEach
    void announceForSomeSeconds() {
        ring.open(next);
        for (int i = 1; i <= SETTLED; i++) {
            announce("e1", "{\"State\":\"ready\",\"Sequence\":" + i + "}");
        }
    }

    private void announce(String key, String value) {
        Optional<Bytes> content =
                value.isEmpty() ? Optional.empty() : Optional.of(Bytes.utf8(value));
        KeyedLog.Entry entry = new KeyedLog.Entry(key, content, next++);
        ring.records(new KeyedLog.Page(List.of(entry), next));
        clock.advance(Duration.ofSeconds(1));
    }

    private List<String> since(long from) {
        return ring.since(from, List.of()).orElseThrow().stream()
                .map(e -> e.value().map(Bytes::text).orElse("removed"))
                .toList();
    }

    @Test
    void onlyTheFirstOfRepeatedAnnouncementsIsKept() {
        assertThat(since(100).size(), equalTo(1));
        assertThat(ring.next(), equalTo(next));
    }

    /** A reader that knows only the first would take a copy of the third for news. */
    @Test
    void theLastRepetitionComesBeforeARemoval() {
        announce("e1", "");
        assertThat(
                since(next - 1),
                contains("{\"State\":\"ready\",\"Sequence\":" + SETTLED + "}", "removed"));
    }

    /** A reader trusts an announcement that contradicts what it knows when it is repeated. */
    @Test
    void repetitionsAfterAChangeAreKept() {
        long from = next;
        for (int i = 0; i < 3; i++) {
            announce("e1", "{\"State\":\"ready\",\"Sequence\":" + i + ",\"born\":2}");
        }
        assertThat(since(from).size(), equalTo(4));
    }

    /** Another writer of the same name would otherwise be taken for a repetition. */
    @Test
    void aSmallerSequenceNumberIsNoRepetition() {
        long from = next;
        announce("e1", "{\"State\":\"ready\",\"Sequence\":3}");
        assertThat(since(from).size(), equalTo(2));
    }

    /** A reader that errs about an endpoint must learn of it without a change. */
    @Test
    void anUnchangedEndpointIsToldOfNowAndThen() {
        long from = next;
        for (int i = SETTLED + 1; i <= StreamRing.MAX_SILENCE.toSeconds() + SETTLED; i++) {
            announce("e1", "{\"State\":\"ready\",\"Sequence\":" + i + "}");
        }
        assertThat(since(from).isEmpty(), is(false));
        assertThat(since(from).size(), lessThanOrEqualTo(2));
    }

    /** Endpoints that come and go for days must not use up the memory. */
    @Test
    void oldRecordsAreDroppedAndNotPassedOff() {
        for (int i = 0; i <= StreamRing.MAX_RECORDS; i++) {
            announce("k" + i, "text");
        }
        assertThat(ring.since(100, List.of()).isEmpty(), is(true));
        assertThat(since(next - 5).size(), equalTo(5));
    }

    @Test
    void aRecordThatFitsIntoNoDatagramIsNotKept() {
        announce("e2", "x".repeat(StreamRing.MAX_RECORD_BYTES));
        announce("e3", "small");
        assertThat(ring.since(next - 2, List.of()).isEmpty(), is(true));
        assertThat(since(next - 1), contains("small"));
    }
}
