package hyssopturn.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInRelativeOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import hyssopturn.event.Timeline.Query;
import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;
import hyssopturn.model.RequestId;
import hyssopturn.standin.VirtualClock;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

class TimelineTest {
    private static final RequestId REQUEST = new RequestId("a.1");

    /** Clock of a node that is some milliseconds off. */
    private static HybridClock clock(long offMillis) {
        return new HybridClock(new VirtualClock(1_000_000 + offMillis));
    }

    private static List<Entry> entries(EventRing ring, String node) {
        return EventJson.read(EventJson.write(new InstanceId(node), ring.events())).orElseThrow();
    }

    @Nested
    class FailedOverRequest {
        private final HybridClock early = clock(-5_000);
        private final HybridClock late = clock(5_000);
        private final EventRing first = new EventRing(new InstanceId("late"), late, 100);
        private final EventRing second = new EventRing(new InstanceId("early"), early, 100);

        FailedOverRequest() {
            first.record(REQUEST, new Detail.Arrived(new AccountId("ana"), new ClassName("sheet")));
            first.record(REQUEST, new Detail.AttemptBegan(1, "e1:0-4 > e2:4-8"));
            first.record(REQUEST, new Detail.EndpointFailed(new InstanceId("e2"), "silent"));
            early.observe(late.next());
            second.record(REQUEST, new Detail.AttemptBegan(2, "e1:0-4 > e3:4-8"));
            second.record(REQUEST, new Detail.Ended(Outcome.DONE, Reason.NONE, ""));
            late.observe(early.next());
            first.record(new Detail.NodeState("draining"));
        }

        private Timeline merged(Query query) {
            return Timeline.merge(
                    List.of(entries(second, "early"), entries(first, "late")),
                    List.of("gone"),
                    query);
        }

        @Test
        void isSeenInCausalOrderThoughClocksAreSecondsOff() {
            List<String> kinds = merged(Query.ALL).entries().stream().map(Entry::what).toList();
            assertThat(
                    kinds,
                    is(
                            List.of(
                                    "arrived",
                                    "attempt",
                                    "endpoint-failed",
                                    "attempt",
                                    "ended",
                                    "node")));
        }

        @Test
        void isOutOfOrderWithoutThePassedStamps() {
            HybridClock deaf = clock(-5_000);
            EventRing alone = new EventRing(new InstanceId("early"), deaf, 100);
            alone.record(REQUEST, new Detail.Ended(Outcome.DONE, Reason.NONE, ""));
            Timeline line =
                    Timeline.merge(
                            List.of(entries(first, "late"), entries(alone, "early")),
                            List.of(),
                            Query.ALL);
            assertThat(line.entries().getFirst().what(), is("ended"));
        }

        @Test
        void isFoundByAccountClassEndpointAndRequest() {
            Query account =
                    new Query(
                            Optional.empty(),
                            Optional.of("sheet"),
                            Optional.empty(),
                            Optional.of("ana"),
                            0,
                            Long.MAX_VALUE);
            assertThat(merged(account).entries(), hasSize(5));
            Query endpoint =
                    new Query(
                            Optional.empty(),
                            Optional.empty(),
                            Optional.of("e3"),
                            Optional.empty(),
                            0,
                            Long.MAX_VALUE);
            assertThat(merged(endpoint).entries(), hasSize(1));
        }

        @Test
        void namesNodesThatGaveNoAnswerInEveryForm() {
            Timeline line = merged(Query.ALL);
            assertThat(TimelinePage.text(line), containsString("no answer from gone"));
            assertThat(TimelinePage.html(line), containsString("no answer from gone"));
        }
    }

    @Nested
    class Page {
        @Test
        void escapesWhatCallersWrote() {
            EventRing ring = new EventRing(new InstanceId("n"), clock(0), 10);
            ring.record(
                    REQUEST,
                    new Detail.Ended(Outcome.FAILED, Reason.INTERNAL, "<script>x</script>"));
            Timeline line = Timeline.merge(List.of(entries(ring, "n")), List.of(), Query.ALL);
            assertThat(TimelinePage.html(line), not(containsString("<script>")));
        }
    }

    @Nested
    class Ring {
        @Test
        void keepsTheLatestEventsOnly() {
            EventRing ring = new EventRing(new InstanceId("n"), clock(0), 3);
            IntStream.range(0, 10).forEach(i -> ring.record(new Detail.NodeState("s" + i)));
            List<String> states =
                    entries(ring, "n").stream().map(e -> e.field("state").orElseThrow()).toList();
            assertThat(states, is(List.of("s7", "s8", "s9")));
            assertThat(states, containsInRelativeOrder("s7", "s9"));
        }
    }

    /** Each step is at one of three nodes; a step at another node than before carries the stamp. */
    @Property(seed = "21", tries = 100)
    void stampsNeverGoBackAlongAnyPathOfMessages(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 2) Integer> path) {
        List<HybridClock> clocks = List.of(clock(-9_000), clock(0), clock(9_000));
        Stamp last = new Stamp(0, 0);
        for (int node : path) {
            clocks.get(node).observe(last);
            Stamp next = clocks.get(node).next();
            assertThat(next.compareTo(last) > 0, is(true));
            last = next;
        }
    }
}
