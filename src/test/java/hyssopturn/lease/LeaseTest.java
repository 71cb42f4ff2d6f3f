package hyssopturn.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.InstanceId;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.Suspendable;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

class LeaseTest {
    private static final int NODES = 4;
    private static final Duration STEP = Duration.ofMillis(100);

    /** One thing that happens; the numbers choose whom it hits and for how long. */
    enum Fault {
        RUN,
        PAUSE,
        WAKE,
        CUT,
        JOIN,
        KILL,
        LOSE_ANSWERS,
        SLOW,
        QUICK,
        DOWN,
        UP,
        TRUNCATE
    }

    record Happening(Fault fault, int node, int span) {}

    private static final class World {
        private final VirtualClock clock = new VirtualClock(0);
        private final MemoryLog log = new MemoryLog(clock);
        private final LeaseDecision.Start start;
        private final List<Suspendable> processes = new ArrayList<>();
        private final List<LeaseController> nodes = new ArrayList<>();
        private long highest;
        private int holder = -1;

        World(LeaseDecision.Start start) {
            this.start = start;
            for (int i = 0; i < NODES; i++) {
                processes.add(null);
                nodes.add(null);
                boot(i);
            }
        }

        private void boot(int i) {
            Suspendable process = new Suspendable(clock, log, 0.98 + 0.01 * i);
            LeaseController node =
                    new LeaseController(
                            new InstanceId("node-" + i),
                            process,
                            process,
                            new SplittableRandom(i + clock.nanos()),
                            LeaseTiming.STANDARD,
                            held -> {},
                            new SimpleMeterRegistry(),
                            start);
            processes.set(i, process);
            nodes.set(i, node);
            node.start();
        }

        void happen(Happening h) {
            int i = h.node();
            switch (h.fault()) {
                case RUN -> {}
                case PAUSE -> processes.get(i).pause();
                case WAKE -> processes.get(i).wake();
                case CUT -> processes.get(i).cut(true);
                case JOIN -> processes.get(i).cut(false);
                case KILL -> {
                    processes.get(i).kill();
                    boot(i);
                }
                case LOSE_ANSWERS -> log.loseAnswers(h.span());
                case SLOW -> log.latency(Duration.ofMillis(300L * h.span()));
                case QUICK -> log.latency(Duration.ZERO);
                case DOWN -> log.down(true);
                case UP -> log.down(false);
                case TRUNCATE -> log.truncate(LeaseController.STREAM, Long.MAX_VALUE);
            }
            check();
            advance(STEP.multipliedBy(5L * h.span()));
        }

        void advance(Duration span) {
            long end = clock.nanos() + span.toNanos();
            while (clock.nanos() < end) {
                clock.advance(STEP);
                check();
            }
        }

        /** At most one holder at any moment, and no term ever comes back at another node. */
        void check() {
            int holders = 0;
            for (int i = 0; i < NODES; i++) {
                OptionalLong term = nodes.get(i).term();
                if (term.isPresent()) {
                    holders++;
                    boolean newer = term.getAsLong() > highest;
                    boolean same = term.getAsLong() == highest && i == holder;
                    assertThat("terms rise", newer || same, is(true));
                    highest = term.getAsLong();
                    holder = i;
                }
            }
            assertThat("holders at once", holders, lessThanOrEqualTo(1));
        }

        void calm() {
            log.down(false);
            log.latency(Duration.ZERO);
            log.loseAnswers(0);
            processes.forEach(p -> p.cut(false));
            processes.forEach(Suspendable::wake);
            check();
            Duration takeover =
                    LeaseTiming.STANDARD
                            .length()
                            .plus(LeaseTiming.STANDARD.margin())
                            .plus(LeaseTiming.STANDARD.spread());
            advance(takeover.multipliedBy(2));
            long held = nodes.stream().filter(n -> n.term().isPresent()).count();
            assertThat("somebody holds after calm", held, is(1L));
        }
    }

    private static void run(List<Happening> happenings, LeaseDecision.Start start) {
        World world = new World(start);
        happenings.forEach(world::happen);
        world.calm();
    }

    @net.jqwik.api.Provide
    net.jqwik.api.Arbitrary<Happening> happening() {
        return net.jqwik.api.Combinators.combine(
                        net.jqwik.api.Arbitraries.of(Fault.class),
                        net.jqwik.api.Arbitraries.integers().between(0, NODES - 1),
                        net.jqwik.api.Arbitraries.integers().between(0, 12))
                .as(Happening::new);
    }

    @Property(seed = "61", tries = 300)
    void oneHolderAtATimeAndOneAfterCalm(
            @ForAll @Size(max = 40) List<@net.jqwik.api.From("happening") Happening> happenings) {
        run(happenings, LeaseDecision.Start.SENDING);
    }

    @Test
    void leaseCountedFromTheAnswerIsCaught() {
        int caught = 0;
        for (int slow = 1; slow <= 4; slow++) {
            for (int renewals = 3; renewals <= 9; renewals++) {
                List<Happening> happenings = stops(slow, renewals);
                run(happenings, LeaseDecision.Start.SENDING);
                caught += fails(happenings) ? 1 : 0;
            }
        }
        assertThat(caught, greaterThan(0));
    }

    private static boolean fails(List<Happening> happenings) {
        try {
            run(happenings, (before, read) -> read);
            return false;
        } catch (AssertionError e) {
            return true;
        }
    }

    /**
     * The holder stops while the answers to its renewals wait for it, and wakes after a takeover.
     */
    private static List<Happening> stops(int slow, int renewals) {
        List<Happening> happenings = new ArrayList<>();
        happenings.add(new Happening(Fault.RUN, 0, 12));
        for (int i = 0; i < NODES; i++) {
            happenings.add(new Happening(Fault.SLOW, i, slow));
            happenings.add(new Happening(Fault.RUN, i, renewals));
            happenings.add(new Happening(Fault.PAUSE, i, 12));
            happenings.add(new Happening(Fault.RUN, i, 12));
            happenings.add(new Happening(Fault.WAKE, i, 0));
        }
        return happenings;
    }

    @Test
    void twoTriesAtOnceGoToTheFirst() {
        LeaseState state = LeaseState.INITIAL;
        LeaseRecord first = new LeaseRecord(new InstanceId("a"), 1, 0);
        LeaseRecord second = new LeaseRecord(new InstanceId("b"), 2, 0);
        state = state.apply(new hyssopturn.port.LogPage.Entry(1, first.encode()));
        state = state.apply(new hyssopturn.port.LogPage.Entry(2, second.encode()));
        assertThat(state.current().orElseThrow(), is(new LeaseState.Accepted(1, first)));
    }
}
