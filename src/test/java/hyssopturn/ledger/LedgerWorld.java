package hyssopturn.ledger;

import hyssopturn.filter.Credentials;
import hyssopturn.filter.Exchange;
import hyssopturn.member.View;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Outcome;
import hyssopturn.model.RequestId;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;
import hyssopturn.model.Zone;
import hyssopturn.port.Instance;
import hyssopturn.standin.FakeService;
import hyssopturn.standin.LocalServices;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;

/** Several nodes, a log that fails, two instances of a service, and callers that repeat keys. */
final class LedgerWorld {
    static final String SECRET = "secret";
    static final Duration LIMIT = Duration.ofSeconds(5);
    static final int NODES = 3;

    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final Duration KEEP = Duration.ofMinutes(30);
    private static final Duration SLICE = Duration.ofSeconds(1);
    private static final Duration HEAL = Duration.ofSeconds(30);
    private static final ClassName CLASS = new ClassName("booking");
    private static final AccountId ACCOUNT = new AccountId("ana");

    final VirtualClock clock = new VirtualClock(0);
    final MemoryLog log = new MemoryLog(clock);
    final List<Asked> asked = new ArrayList<>();
    private final Flaw flaw;
    private final List<FakeService> services = new ArrayList<>();
    private final LocalServices client = new LocalServices();
    private final View view;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Queue<long[]> appendTimes = new ArrayDeque<>();
    private final Config config;
    private int incarnations;

    /** What a caller asked and was told. */
    static final class Asked {
        final String request;
        final String key;
        final SimulatedNode node;
        Optional<AnswerEvent.End> end = Optional.empty();
        Optional<Bytes> body = Optional.empty();

        Asked(String request, String key, SimulatedNode node) {
            this.request = request;
            this.key = key;
            this.node = node;
        }

        boolean ended(Outcome outcome) {
            return end.filter(e -> e.outcome() == outcome).isPresent();
        }
    }

    LedgerWorld(Flaw flaw) {
        this.flaw = flaw;
        List<Instance> listed = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            FakeService service = new FakeService(clock, Duration.ofMillis(40));
            Address at = Address.parse("127.0.0.1:" + (1_000 + i));
            services.add(service);
            client.add(at, service);
            listed.add(
                    new Instance(
                            new InstanceId("dispatch-" + i),
                            1,
                            new Instance.Role.Service("dispatch"),
                            at,
                            new Zone("r", "z"),
                            false));
        }
        view = new View(List.of(), List.of(), listed);
        WorkClass work =
                new WorkClass(
                        CLASS, new Work.Call("dispatch", false), new Target.Answer(LIMIT), 0.99);
        config = new Config(1, Map.of(), Map.of(CLASS, work), Set.of());
        for (int i = 0; i < NODES; i++) {
            nodes.add(node());
        }
        pass(SLICE);
    }

    private SimulatedNode node() {
        return new SimulatedNode(
                "node." + ++incarnations,
                new LedgerSettings(KEEP, RETENTION, 300),
                clock,
                log,
                client,
                view,
                flaw);
    }

    void run(Step step) {
        switch (step) {
            case Step.Call(int node, int key, int body) -> call(node, "key-" + key, "b" + body);
            case Step.Pass(Duration span) -> pass(span);
            case Step.Kill(int node) -> {
                nodes.get(node).kill();
                nodes.set(node, node());
            }
            case Step.Pause(int node) -> nodes.get(node).pause();
            case Step.PauseAtSend(int node) -> nodes.get(node).pauseAtSend();
            case Step.Resume(int node) -> nodes.get(node).resume();
            case Step.LogDown(boolean down) -> log.down(down);
            case Step.LoseAppendAnswers(int count) -> log.loseAnswers(count);
            case Step.LandLate(int node, Duration by) -> nodes.get(node).landLate(by);
            case Step.LoseReads(int count) -> log.loseReads(count);
            case Step.Latency(Duration span) -> log.latency(span);
            case Step.LoseServiceAnswer() -> services.get(0).loseAnswers(1);
            case Step.ServiceDraining(boolean draining) ->
                    services.forEach(s -> s.draining(draining));
            case Step.TruncateHard(int keep) ->
                    log.truncate(LogLedger.STREAM, log.end(LogLedger.STREAM) - keep);
        }
    }

    Asked call(int node, String key, String body) {
        Asked caller = new Asked("r" + asked.size(), key, nodes.get(node));
        asked.add(caller);
        Exchange.Call call =
                new Exchange.Call(
                        CLASS,
                        Optional.of(new Credentials(SECRET).token(ACCOUNT)),
                        Optional.of(key),
                        new Exchange.Input.Json(Bytes.utf8("{\"b\":\"" + body + "\"}")));
        Exchange exchange =
                new Exchange(new RequestId(caller.request), call, config, clock.nanos());
        nodes.get(node).handle(exchange, event -> note(caller, event));
        return caller;
    }

    private static void note(Asked caller, AnswerEvent event) {
        switch (event) {
            case AnswerEvent.Body(Bytes body) -> caller.body = Optional.of(body);
            case AnswerEvent.End end -> caller.end = Optional.of(end);
            case AnswerEvent.Token token -> throw new AssertionError("a call gives no tokens");
        }
    }

    /** Passes time; the log drops records older than its retention. */
    void pass(Duration span) {
        long end = clock.nanos() + span.toNanos();
        while (clock.nanos() < end) {
            long slice = Math.min(SLICE.toNanos(), end - clock.nanos());
            clock.advance(Duration.ofNanos(slice));
            appendTimes.add(new long[] {clock.nanos(), log.end(LogLedger.STREAM)});
            while (appendTimes.peek()[0] < clock.nanos() - RETENTION.toNanos()) {
                log.truncate(LogLedger.STREAM, appendTimes.poll()[1]);
            }
        }
    }

    /** Ends all faults and lets everything settle. */
    void heal() {
        log.down(false);
        log.loseAnswers(0);
        log.loseReads(0);
        log.latency(Duration.ZERO);
        services.forEach(s -> s.draining(false));
        services.forEach(s -> s.loseAnswers(0));
        nodes.forEach(SimulatedNode::resume);
        pass(HEAL);
    }

    Optional<Integer> readyNode() {
        for (int i = 0; i < nodes.size(); i++) {
            if (nodes.get(i).ledger.ready()) {
                return Optional.of(i);
            }
        }
        return Optional.empty();
    }

    List<String> seenRequests() {
        return services.stream()
                .flatMap(s -> s.journal().stream())
                .map(c -> c.request().value())
                .toList();
    }

    List<String> seenKeys() {
        return services.stream()
                .flatMap(s -> s.journal().stream())
                .map(c -> c.key().orElseThrow())
                .toList();
    }

    List<SimulatedNode> nodes() {
        return nodes;
    }
}
