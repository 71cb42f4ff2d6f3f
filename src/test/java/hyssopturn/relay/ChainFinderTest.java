package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.RetryPolicy;
import hyssopturn.catalog.Route;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.fleet.Endpoint;
import hyssopturn.limit.SoleIssuer;
import hyssopturn.load.LoadView;
import hyssopturn.load.PriorityLoad;
import hyssopturn.load.ZoneLoad;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.Liveness;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.PromptQuarantine;
import hyssopturn.standin.VirtualClock;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** Guards against requests that stay or leave against what is known of the load of all nodes. */
class ChainFinderTest {
    private static final String SERVICE = "writers";
    private static final Duration TICK = Duration.ofMillis(20);
    private static final EngineSpec SPEC =
            new EngineSpec(
                    80,
                    1,
                    80,
                    1,
                    0,
                    0,
                    100_000,
                    1_000,
                    1_000,
                    Duration.ofSeconds(1),
                    100,
                    100,
                    Map.of("k", new EngineKind("k", 81, 1, 1)));

    private final VirtualClock clock = new VirtualClock(0);
    private final List<TraceEvent> events = new ArrayList<>();
    private final TraceLog trace =
            new TraceLog("n", clock, OutputStream.nullOutputStream(), 1_000, events::add);
    private final RoutingState state = new RoutingState();
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

    @BeforeEach
    void announce() {
        announce("a1", "a");
        announce("b1", "b");
    }

    @AfterEach
    void close() {
        trace.close();
    }

    private void announce(String id, String zone) {
        state.roster()
                .announce(
                        new Endpoint(
                                new InstanceId(id),
                                SERVICE,
                                new Address("10.0.0.1", 1_000 + id.hashCode() % 100),
                                zone,
                                6,
                                false,
                                "k",
                                Optional.of(new LayerRange(0, 80)),
                                1,
                                1),
                        0);
    }

    /** Knows how many streams the clients of zone a ask for; those of zone b ask for none. */
    private record Asked(double perSecond) implements LoadView {
        @Override
        public Optional<ZoneLoad> zone(String service, String zone) {
            double asked = zone.equals("a") ? perSecond : 0;
            PriorityLoad load = new PriorityLoad(0, asked, asked, 0, 0);
            return Optional.of(new ZoneLoad(zone, 3, List.of(load), Duration.ofMillis(200)));
        }

        @Override
        public OptionalDouble usedTokens(InstanceId engine) {
            return OptionalDouble.empty();
        }
    }

    private RelayContext context(LoadView loads) {
        SplittableRandom random = new SplittableRandom(1);
        return new RelayContext(
                state,
                null,
                null,
                clock,
                random,
                new RetryBudget(0.2, Duration.ofSeconds(10).toNanos(), 100, 1),
                new EngineLoad(random, 3),
                loads,
                new InterZoneBudget(1),
                (address, reference) -> CompletableFuture.completedFuture(Liveness.LISTENS),
                new LoopLag(),
                engine -> {},
                new AnswerMemory(0),
                SoleIssuer.limits(clock),
                new EndpointNotices(state.roster(), SoleIssuer.limits(clock), clock, trace, meters),
                new PromptGuard(new PromptQuarantine(0), clock, trace, report -> {}),
                trace,
                meters,
                new RelaySettings("a", TICK, TICK, TICK, TICK, TICK, TICK, TICK, true, true));
    }

    private static ChainFinder finder(RelayContext context) {
        Route route =
                new Route(
                        "r",
                        "town.example",
                        "/write/",
                        true,
                        RetryPolicy.RESUME,
                        Duration.ofSeconds(20),
                        Duration.ofMillis(500),
                        Duration.ofMillis(200),
                        2,
                        0,
                        true,
                        List.of(new Route.WeightedService(SERVICE, 1)));
        CallHeaders headers =
                new CallHeaders(
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        100,
                        100,
                        OptionalLong.empty(),
                        List.of(),
                        OptionalLong.empty());
        Admitted admitted =
                new Admitted(
                        null, route, SERVICE, Optional.empty(), headers, RequestBody.empty(), 0);
        return new ChainFinder(context, admitted, SPEC);
    }

    private EngineChain find(RelayContext context) {
        return finder(context).findWithCapacity(e -> true, Set.of()).orElseThrow();
    }

    /** Returns the part of the requests that leave, at two requests in each step of the flows. */
    private double leavingPart(RelayContext context) {
        int left = 0;
        int requests = 1_000;
        for (int i = 0; i < requests; i++) {
            clock.advance(Duration.ofMillis(50));
            EngineChain chain = find(context);
            finder(context).countCrossing(chain);
            left += chain.first().engine().zone().equals("b") ? 1 : 0;
        }
        return (double) left / requests;
    }

    private long reports() {
        return events.stream().filter(TraceEvent.ZoneFlowChanged.class::isInstance).count();
    }

    @Test
    void whatExceedsTheCapacityLeavesAndIsCounted() {
        // 12,500 tokens fit, so 62.5 streams of 200 tokens and 0.101 s: 619 streams per second
        double part = leavingPart(context(new Asked(800)));
        assertThat(part, closeTo((800 - 619) / 800.0, 0.05));
        assertThat(
                meters.counter("hyssopturn.zone.requests", "reach", "other zone").count(),
                closeTo(part * 1_000, 1e-6));
        assertThat(
                meters.get("hyssopturn.zone.part").tag("zone", "b").gauge().value(),
                closeTo(part, 0.05));
        assertThat(reports() >= 1 && reports() <= 3, equalTo(true));
    }

    @Test
    void whatFitsStays() {
        assertThat(leavingPart(context(new Asked(500))), equalTo(0.0));
        assertThat(leavingPart(context(LoadView.NONE)), equalTo(0.0));
    }

    @Test
    void aTrialReportsNothingAndChangesNoPart() {
        RelayContext context = context(new Asked(2_000));
        find(context);
        double before = context.zoneLinks().flows().part(SERVICE, "b");
        long reportsBefore = reports();
        for (int i = 0; i < 50; i++) {
            clock.advance(Duration.ofMillis(100));
            find(context.forDryRun(new SplittableRandom(i)));
        }
        assertThat(context.zoneLinks().flows().part(SERVICE, "b"), equalTo(before));
        assertThat(reports(), equalTo(reportsBefore));
    }
}
