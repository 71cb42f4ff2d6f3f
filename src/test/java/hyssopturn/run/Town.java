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

/** A driver over stand-in engines in virtual time, and an oracle over journals and answers. */
final class Town {
    static final ModelSpec MODEL = new ModelSpec(new ModelId("atelier", "1"), 6, 1);
    static final Duration LEAVE_LIMIT = Duration.ofSeconds(2);
    static final Target.Stream TARGET =
            new Target.Stream(Duration.ofMillis(480), Duration.ofMillis(50));
    private static final WorkClass CLASS =
            new WorkClass(
                    new ClassName("cutting-sheet"), new Work.Generate("atelier"), TARGET, 0.95);
    private static final Duration LINK = Duration.ofMillis(1);
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    final VirtualClock clock = new VirtualClock(0);
    final SplittableRandom random;
    final FaultyEngines engines;
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final Map<Address, Instance> instances = new LinkedHashMap<>();
    final List<FakeEngine> everyEngine = new ArrayList<>();
    final Map<Address, Long> left = new HashMap<>();
    final List<Reader> readers = new ArrayList<>();
    private final Driver driver;
    private View view = View.EMPTY;

    Town(long seed, boolean recovering, long activationBytes, UnaryOperator<RunMachine> wrapper) {
        random = new SplittableRandom(seed);
        engines = new FaultyEngines(clock, random.split());
        EventRing events = new EventRing(new InstanceId("node-1"), new HybridClock(clock), 1_000);
        ObservedCosts costs = new ObservedCosts(clock);
        driver =
                recovering
                        ? new RecoveringDriver(
                                new RecoveringDriver.Parts(
                                        engines,
                                        new BestRoutes(costs, clock, random.split()),
                                        costs,
                                        () -> view,
                                        new NoEvidence(),
                                        clock,
                                        events,
                                        meters),
                                new ActivationBudget(activationBytes),
                                RunSettings.usual(PATIENCE),
                                wrapper)
                        : new NaiveDriver(engines, new RoundRobinChooser(), () -> view, events);
    }

    static final class NoEvidence implements Evidence {
        @Override
        public void unreachable(Instance endpoint) {}

        @Override
        public void leaving(Instance endpoint) {}
    }

    /** What one caller got. */
    final class Reader {
        final Generation generation;
        final List<AnswerEvent> answer = new ArrayList<>();
        final List<Long> times = new ArrayList<>();
        boolean cancelled;
        Cancellable subscription;

        Reader(Generation generation) {
            this.generation = generation;
        }

        void on(AnswerEvent event) {
            answer.add(event);
            times.add(clock.nanos());
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

    Address engine(int number, int from, int to, EngineProfile profile) {
        Address at = new Address("127.0.0.1", 1000 + number);
        Holding holding = new Holding(MODEL.id(), new LayerRange(from, to), List.of(), Phase.BOTH);
        FakeEngine engine = new FakeEngine(profile, List.of(holding), MODEL.layers(), false, clock);
        engines.add(at, engine, LINK);
        everyEngine.add(engine);
        left.remove(at);
        instances.put(
                at,
                new Instance(
                        new InstanceId("engine-" + number),
                        clock.nanos(),
                        new Instance.Role.Engine("a10", 1, false),
                        at,
                        new Zone("local", "a"),
                        false));
        return at;
    }

    /** Shows the node who is listed now. */
    void look() {
        List<EngineView> seen = new ArrayList<>();
        instances.forEach((at, instance) -> seen.add(new EngineView(instance, report(at))));
        view = new View(List.of(), seen, List.of());
    }

    private EngineReport report(Address at) {
        return engines.host(at).engine.report();
    }

    void leave(Address at) {
        if (instances.remove(at) != null) {
            left.put(at, clock.nanos());
        }
    }

    Reader start(int words, int maxTokens) {
        RequestId request = new RequestId("r" + readers.size());
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
        Reader reader = new Reader(generation);
        readers.add(reader);
        reader.subscription = driver.run(generation).subscribe().with(reader::on);
        return reader;
    }

    /** Checks everything that must hold once all runs are over. */
    void check(boolean mustBeDone) {
        readers.forEach(reader -> checkAnswer(reader, mustBeDone));
        checkOnce();
        checkLeft();
    }

    private void checkAnswer(Reader reader, boolean mustBeDone) {
        String name = reader.generation.request() + " " + reader.answer;
        List<String> expected = reader.expected();
        List<String> words = reader.words();
        assertThat(name, words.size(), lessThanOrEqualTo(expected.size()));
        assertThat(name, words, is(expected.subList(0, words.size())));
        for (int i = 0; i < words.size(); i++) {
            assertThat(name, ((AnswerEvent.Token) reader.answer.get(i)).index(), is(i));
        }
        if (reader.cancelled) {
            return;
        }
        assertThat(name, reader.end().isPresent(), is(true));
        assertThat(name, reader.answer.size(), is(words.size() + 1));
        Outcome outcome = reader.end().orElseThrow().outcome();
        if (mustBeDone) {
            assertThat(name, outcome, is(Outcome.DONE));
        }
        if (outcome == Outcome.DONE) {
            assertThat(name, words, is(expected));
        }
        if (outcome == Outcome.NOT_RUN) {
            assertThat(name, ran(reader.generation.request()), is(false));
        }
    }

    private boolean ran(RequestId request) {
        return everyEngine.stream()
                .flatMap(e -> e.journal().stream())
                .anyMatch(e -> e.request().equals(request));
    }

    private record Ran(RequestId request, int attempt, int layer, int position) {}

    private void checkOnce() {
        Set<Ran> seen = new HashSet<>();
        for (FakeEngine engine : everyEngine) {
            for (JournalEntry entry : engine.journal()) {
                for (int layer = entry.layers().from(); layer < entry.layers().to(); layer++) {
                    for (int i = 0; i < entry.count(); i++) {
                        int position = entry.position() + i;
                        Ran ran = new Ran(entry.request(), entry.attempt(), layer, position);
                        assertThat("ran twice: " + ran, seen.add(ran), is(true));
                    }
                }
            }
        }
    }

    private void checkLeft() {
        left.forEach(
                (at, since) -> {
                    long limit = since + LEAVE_LIMIT.toNanos();
                    Set<RequestId> old = new HashSet<>();
                    List<RequestId> late = new ArrayList<>();
                    for (FaultyEngines.Arrival arrival : engines.arrivals()) {
                        if (arrival.engine().equals(at)) {
                            if (arrival.nanos() <= limit) {
                                old.add(arrival.request());
                            } else {
                                late.add(arrival.request());
                            }
                        }
                    }
                    assertThat(
                            "new work at " + at + " that has left", late, everyItem(is(in(old))));
                });
    }

    double recomputedLayerTokens() {
        return meters.find("hyssopturn.run.recomputed.layer.tokens").counters().stream()
                .mapToDouble(c -> c.count())
                .sum();
    }

    int open() {
        return (int) readers.stream().filter(r -> !r.cancelled && r.end().isEmpty()).count();
    }
}
