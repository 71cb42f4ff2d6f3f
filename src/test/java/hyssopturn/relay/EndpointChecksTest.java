package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.Roster;
import hyssopturn.fleet.TestEndpoints;
import hyssopturn.limit.SoleIssuer;
import hyssopturn.load.LoadView;
import hyssopturn.model.Address;
import hyssopturn.port.Liveness;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.PromptQuarantine;
import hyssopturn.standin.VirtualClock;
import hyssopturn.trace.TraceLog;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

class EndpointChecksTest {
    private static final String ZONE = "a";
    private static final int ENGINES = 20;
    private static final int NODES_IN_ZONE = 19;
    private static final Duration TICK = Duration.ofMillis(20);

    private final VirtualClock clock = new VirtualClock(0);
    private final TraceLog trace = new TraceLog("n", clock, OutputStream.nullOutputStream(), 1_000);
    private final RoutingState state = new RoutingState();
    private final LoopLag loopLag = new LoopLag();
    private final Map<Address, Liveness> results = new HashMap<>();
    private final List<Address> probed = new ArrayList<>();
    private final List<Endpoint> failed = new ArrayList<>();
    private final EndpointChecks checks = new EndpointChecks(context(), this::markFailed);

    @BeforeEach
    void announce() {
        for (int i = 0; i < ENGINES; i++) {
            state.roster().announce(engine(i), clock.nanos());
        }
    }

    @AfterEach
    void close() {
        trace.close();
    }

    private RelayContext context() {
        SplittableRandom random = new SplittableRandom(1);
        return new RelayContext(
                state,
                null,
                null,
                clock,
                random,
                new RetryBudget(0.2, Duration.ofSeconds(10).toNanos(), 100, 1),
                new EngineLoad(random, NODES_IN_ZONE),
                LoadView.NONE,
                new InterZoneBudget(1),
                this::probe,
                loopLag,
                engine -> {},
                new AnswerMemory(0),
                SoleIssuer.limits(clock),
                new EndpointNotices(
                        state.roster(),
                        SoleIssuer.limits(clock),
                        clock,
                        trace,
                        new SimpleMeterRegistry()),
                new PromptGuard(new PromptQuarantine(0), clock, trace, report -> {}),
                trace,
                new SimpleMeterRegistry(),
                new RelaySettings(ZONE, TICK, TICK, TICK, TICK, TICK, TICK, TICK, true, true));
    }

    private static Endpoint engine(int number) {
        return engine(number, ZONE);
    }

    private static Endpoint engine(int number, String zone) {
        return TestEndpoints.engine("e" + number, 1_000 + number, zone, 1);
    }

    private CompletableFuture<Liveness> probe(Address address, Optional<Address> reference) {
        probed.add(address);
        return CompletableFuture.completedFuture(results.getOrDefault(address, Liveness.LISTENS));
    }

    private void markFailed(Endpoint endpoint) {
        failed.add(endpoint);
        state.roster()
                .suspect(
                        endpoint.id(), endpoint.incarnation(), Evidence.UNREACHABLE, clock.nanos());
    }

    private void report(Endpoint endpoint) {
        state.roster()
                .suspect(endpoint.id(), endpoint.incarnation(), Evidence.REPORT, clock.nanos());
    }

    private List<Endpoint> usable() {
        return state.roster().usable(TestEndpoints.SERVICE, clock.nanos());
    }

    private void play(Duration span) {
        long end = clock.nanos() + span.toNanos();
        while (clock.nanos() < end) {
            checks.checkReported();
            clock.advance(TICK);
        }
    }

    @Nested
    class Reports {
        @Test
        void ofSoundEnginesExcludeThemOnlyUntilTheyWereChecked() {
            for (int i = 0; i < ENGINES; i++) {
                report(engine(i));
            }
            assertThat(usable(), empty());
            play(Duration.ofMillis(100));
            assertThat(usable(), hasSize(ENGINES));
        }

        @Test
        void ofAFailedEngineAreConfirmed() {
            results.put(engine(3).address(), Liveness.FAILED);
            report(engine(3));
            play(Duration.ofSeconds(5));
            assertThat(failed, hasSize(1));
            assertThat(state.roster().suspected(engine(3), clock.nanos()), is(true));
        }

        /** A node whose own zone is full uses the engines of other zones. */
        @Test
        void ofAFailedEngineOfAnotherZoneAreConfirmedToo() {
            Endpoint other = engine(ENGINES, "b");
            state.roster().announce(other, clock.nanos());
            results.put(other.address(), Liveness.FAILED);
            report(other);
            for (int i = 0; i < 30; i++) {
                assertThat(state.roster().suspected(other, clock.nanos()), is(true));
                play(Duration.ofMillis(100));
            }
        }

        @Test
        void thatCannotBeCheckedLapse() {
            results.put(engine(3).address(), Liveness.UNKNOWN);
            report(engine(3));
            play(Roster.REPORT_VALIDITY.plus(TICK));
            assertThat(usable(), hasSize(ENGINES));
        }

        @Test
        void areCheckedOnce() {
            report(engine(3));
            report(engine(4));
            play(Duration.ofMillis(500));
            assertThat(probed, containsInAnyOrder(engine(3).address(), engine(4).address()));
        }
    }

    @Nested
    class SlowNodes {
        @Test
        void blameNobodyIfTheirNetworkIsSlow() {
            for (int i = 0; i < ENGINES; i++) {
                results.put(engine(i).address(), Liveness.UNKNOWN);
                checks.checkPaced(engine(i));
            }
            play(Duration.ofSeconds(1));
            assertThat(failed, empty());
            assertThat(usable(), hasSize(ENGINES));
        }

        @Test
        void blameNobodyIfTheirEventLoopWasDelayed() {
            loopLag.tick(clock.nanos(), TICK);
            clock.advance(Duration.ofMillis(300));
            results.put(engine(3).address(), Liveness.FAILED);
            checks.check(engine(3));
            assertThat(failed, empty());
        }

        @Test
        void checkAgainSoon() {
            results.put(engine(3).address(), Liveness.UNKNOWN);
            checks.checkPaced(engine(3));
            checks.checkPaced(engine(3));
            assertThat(probed, hasSize(1));
            clock.advance(EndpointChecks.UNKNOWN_RETRY_DELAY);
            checks.checkPaced(engine(3));
            assertThat(probed, hasSize(2));
        }
    }

    @Nested
    class SuspectedEngines {
        @Test
        void areUsedAgainAsSoonAsTheyAcceptConnections() {
            results.put(engine(3).address(), Liveness.FAILED);
            checks.check(engine(3));
            results.remove(engine(3).address());
            clock.advance(EndpointChecks.FIRST_RECHECK_DELAY);
            assertThat(usable(), hasSize(ENGINES));
        }

        @Test
        void areCheckedLessAndLessOften() {
            results.put(engine(3).address(), Liveness.FAILED);
            checks.check(engine(3));
            clock.advance(Duration.ofMillis(3_500));
            assertThat(probed.size(), equalTo(4));
        }

        @Test
        void areNotCheckedMoreOftenIfManyRequestsFindThem() {
            results.put(engine(3).address(), Liveness.FAILED);
            for (int i = 0; i < 10; i++) {
                checks.check(engine(3));
            }
            clock.advance(EndpointChecks.FIRST_RECHECK_DELAY);
            assertThat(probed, hasSize(11));
        }

        @Test
        void areNotCheckedOnceTheirEntryIsRemoved() {
            results.put(engine(3).address(), Liveness.FAILED);
            checks.check(engine(3));
            state.roster().remove(engine(3).id(), clock.nanos());
            state.roster().purge(clock.nanos());
            clock.advance(Duration.ofSeconds(10));
            assertThat(probed, hasSize(1));
        }
    }
}
