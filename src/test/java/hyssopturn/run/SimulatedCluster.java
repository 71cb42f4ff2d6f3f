package hyssopturn.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.event.EventRing;
import hyssopturn.event.HybridClock;
import hyssopturn.member.View;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.ClassName;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Outcome;
import hyssopturn.model.RequestId;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.EngineClient.Token;
import hyssopturn.port.Instance;
import hyssopturn.route.BestRoutes;
import hyssopturn.route.ObservedCosts;
import hyssopturn.route.RoundRobinChooser;
import hyssopturn.standin.EngineProfile;
import hyssopturn.standin.FakeEngine;
import hyssopturn.standin.FakeEngine.JournalEntry;
import hyssopturn.standin.ReferenceModel;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.subscription.Cancellable;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/** A driver with simulated engines in virtual time; checks the journals and the answers. */
final class SimulatedCluster {
    static final ModelSpec MODEL = new ModelSpec(new ModelId("atelier", "1"), 6, 1);
    static final Duration LEAVE_LIMIT = Duration.ofSeconds(2);
    static final Target.Stream TARGET =
            new Target.Stream(Duration.ofMillis(480), Duration.ofMillis(50));
    private static final WorkClass CLASS =
            new WorkClass(
                    new ClassName("cutting-sheet"), new Work.Generate("atelier"), TARGET, 0.95);
    private static final Duration LINK_DELAY = Duration.ofMillis(1);
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(30);

    final VirtualClock clock = new VirtualClock(0);
    final SplittableRandom random;
    final FaultyEngines engines;
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final Map<Address, Instance> instances = new LinkedHashMap<>();
    final List<FakeEngine> allEngines = new ArrayList<>();
    final Map<Address, Long> leftNanos = new HashMap<>();
    final List<Caller> callers = new ArrayList<>();
    private final Driver driver;
    private View view = View.EMPTY;

    SimulatedCluster(
            long seed,
            boolean recovering,
            long activationBytes,
            UnaryOperator<RunMachine> wrapper) {
        random = new SplittableRandom(seed);
        engines = new FaultyEngines(clock, random.split());
        EventRing events = new EventRing(new InstanceId("node-1"), new HybridClock(clock), 1_000);
        ObservedCosts costs = new ObservedCosts(clock);
        driver =
                recovering
                        ? new RecoveringDriver(
                                new RecoveringDriver.Dependencies(
                                        engines,
                                        new BestRoutes(costs, clock, random.split()),
                                        costs,
                                        () -> view,
                                        new NoOpEndpointListener(),
                                        clock,
                                        events,
                                        meters),
                                new ActivationBudget(activationBytes),
                                RunSettings.defaults(STALL_TIMEOUT),
                                wrapper)
                        : new NaiveDriver(engines, new RoundRobinChooser(), () -> view, events);
    }

    static final class NoOpEndpointListener implements EndpointListener {
        @Override
        public void onUnreachable(Instance endpoint) {}

        @Override
        public void onLeaving(Instance endpoint) {}
    }

    /** A caller and the events that it received. */
    final class Caller {
        final Generation generation;
        final List<AnswerEvent> answer = new ArrayList<>();
        final List<Long> eventNanos = new ArrayList<>();
        boolean cancelled;
        Cancellable subscription;

        Caller(Generation generation) {
            this.generation = generation;
        }

        void receive(AnswerEvent event) {
            answer.add(event);
            eventNanos.add(clock.nanos());
        }

        Optional<AnswerEvent.End> end() {
            return answer.stream()
                    .filter(AnswerEvent.End.class::isInstance)
                    .map(AnswerEvent.End.class::cast)
                    .findFirst();
        }

        List<String> words() {
            return answer.stream()
                    .filter(AnswerEvent.Token.class::isInstance)
                    .map(e -> ((AnswerEvent.Token) e).text())
                    .toList();
        }

        List<String> expected() {
            return ReferenceModel.generate(MODEL, generation.prompt().ids(), generation.maxTokens())
                    .stream()
                    .map(Token::text)
                    .toList();
        }
    }

    Address addEngine(int number, int from, int to, EngineProfile profile) {
        Address address = new Address("127.0.0.1", 1000 + number);
        Holding holding = new Holding(MODEL.id(), new LayerRange(from, to), List.of(), Phase.BOTH);
        FakeEngine engine = new FakeEngine(profile, List.of(holding), MODEL.layers(), false, clock);
        engines.add(address, engine, LINK_DELAY);
        allEngines.add(engine);
        leftNanos.remove(address);
        instances.put(
                address,
                new Instance(
                        new InstanceId("engine-" + number),
                        clock.nanos(),
                        new Instance.Role.Engine("a10", 1, false),
                        address,
                        new Zone("local", "a"),
                        false));
        return address;
    }

    /** Updates the node's view to the instances that are listed now. */
    void refreshView() {
        List<EngineView> seen = new ArrayList<>();
        instances.forEach(
                (address, instance) -> seen.add(new EngineView(instance, report(address))));
        view = new View(List.of(), seen, List.of());
    }

    private EngineReport report(Address address) {
        return engines.host(address).engine.report();
    }

    void leave(Address address) {
        if (instances.remove(address) != null) {
            leftNanos.put(address, clock.nanos());
        }
    }

    Caller start(int words, int maxTokens) {
        RequestId request = new RequestId("r" + callers.size());
        long[] ids = random.longs(words).toArray();
        Prompt prompt = Prompt.ofIds(ids);
        Generation generation =
                new Generation(
                        request,
                        new AccountId("ana"),
                        CLASS,
                        MODEL,
                        prompt,
                        prompt.prefix(64),
                        maxTokens,
                        clock.nanos());
        Caller caller = new Caller(generation);
        callers.add(caller);
        caller.subscription = driver.run(generation).subscribe().with(caller::receive);
        return caller;
    }

    /** Checks the invariants that must hold after all runs have ended. */
    void check(boolean mustBeDone) {
        callers.forEach(caller -> checkAnswer(caller, mustBeDone));
        checkNothingRanTwice();
        checkNoNewWorkAfterLeaving();
    }

    private void checkAnswer(Caller caller, boolean mustBeDone) {
        String name = caller.generation.request() + " " + caller.answer;
        List<String> expected = caller.expected();
        List<String> words = caller.words();
        assertThat(name, words.size(), lessThanOrEqualTo(expected.size()));
        assertThat(name, words, is(expected.subList(0, words.size())));
        for (int i = 0; i < words.size(); i++) {
            assertThat(name, ((AnswerEvent.Token) caller.answer.get(i)).index(), is(i));
        }
        if (caller.cancelled) {
            return;
        }
        assertThat(name, caller.end().isPresent(), is(true));
        assertThat(name, caller.answer.size(), is(words.size() + 1));
        Outcome outcome = caller.end().orElseThrow().outcome();
        if (mustBeDone) {
            assertThat(name, outcome, is(Outcome.DONE));
        }
        if (outcome == Outcome.DONE) {
            assertThat(name, words, is(expected));
        }
        if (outcome == Outcome.NOT_RUN) {
            assertThat(name, ran(caller.generation.request()), is(false));
        }
    }

    private boolean ran(RequestId request) {
        return allEngines.stream()
                .flatMap(e -> e.journal().stream())
                .anyMatch(e -> e.request().equals(request));
    }

    private record Execution(RequestId request, int attempt, int layer, int position) {}

    private void checkNothingRanTwice() {
        Set<Execution> seen = new HashSet<>();
        for (FakeEngine engine : allEngines) {
            for (JournalEntry entry : engine.journal()) {
                for (int layer = entry.layers().from(); layer < entry.layers().to(); layer++) {
                    for (int i = 0; i < entry.count(); i++) {
                        int position = entry.position() + i;
                        Execution ran =
                                new Execution(entry.request(), entry.attempt(), layer, position);
                        assertThat("executed twice: " + ran, seen.add(ran), is(true));
                    }
                }
            }
        }
    }

    private void checkNoNewWorkAfterLeaving() {
        leftNanos.forEach(
                (address, since) -> {
                    long limit = since + LEAVE_LIMIT.toNanos();
                    Set<RequestId> old = new HashSet<>();
                    List<RequestId> late = new ArrayList<>();
                    for (FaultyEngines.Arrival arrival : engines.arrivals()) {
                        if (arrival.engine().equals(address)) {
                            if (arrival.nanos() <= limit) {
                                old.add(arrival.request());
                            } else {
                                late.add(arrival.request());
                            }
                        }
                    }
                    assertThat(
                            "new work at " + address + " after it has left",
                            late,
                            everyItem(is(in(old))));
                });
    }

    double recomputedLayerTokens() {
        return meters.find("hyssopturn.run.recomputed.layer.tokens").counters().stream()
                .mapToDouble(c -> c.count())
                .sum();
    }

    int openRuns() {
        return (int) callers.stream().filter(r -> !r.cancelled && r.end().isEmpty()).count();
    }
}
