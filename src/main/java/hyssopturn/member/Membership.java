package hyssopturn.member;

import hyssopturn.member.Fact.ConfigInForce;
import hyssopturn.member.Fact.Health;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Membership decisions (states, partners, messages to send) without I/O; not thread-safe. */
final class Membership {
    private static final Duration REPOLL_DELAY = Duration.ofMillis(300);

    /** How long a new node waits to learn which endpoints are leaving before it uses any. */
    private static final Duration STARTUP_WAIT = Duration.ofSeconds(3);

    private static final Duration VIEW_INTERVAL = Duration.ofSeconds(1);

    private final MemberSettings settings;
    private final Instance self;
    private final ConfigSource config;
    private final Roster roster;
    private final Outbox outbox;
    private final DeltaExchange exchange;
    private final FailureDetector detector;
    private final EngineReports reports;
    private final EndpointBackoff backoff = new EndpointBackoff();
    private final PollPlan pollPlan;
    private final ConfigFetch configFetch;
    private final ViewBuilder viewBuilder;
    private final long startNanos;
    private List<InstanceId> partners = List.of();
    private List<InstanceId> candidates = List.of();
    private long viewGeneration = -1;
    private long viewNanos;
    private boolean summaryReceived;
    private boolean ready;
    private boolean changed = true;
    private boolean urgent = true;

    Membership(
            MemberSettings settings,
            MessageCodec codec,
            ConfigSource config,
            RandomGenerator random,
            long now) {
        this.config = config;
        startNanos = now;
        this.settings = settings;
        self = settings.self();
        roster = new Roster(self, codec, now);
        outbox =
                new Outbox(
                        codec,
                        new TokenBucket(settings.bytesPerSecond(), settings.burstBytes(), now));
        exchange = new DeltaExchange(settings, roster, outbox, random);
        detector = new FailureDetector(self, roster, outbox, random, now);
        reports = new EngineReports(self.id(), roster);
        pollPlan = new PollPlan(self, roster, settings.pollInterval(), random);
        configFetch = new ConfigFetch(config, outbox);
        viewBuilder = new ViewBuilder(settings, roster, reports, backoff);
    }

    /** Performs due work: chooses partners, checks for failures and queues messages. */
    void tick(long now) {
        long version = config.version();
        exchange.configVersion(version);
        if (version > 0) {
            roster.merge(new ConfigInForce(self.id(), self.incarnation(), version), now);
        }
        choosePartners();
        ready |= now - startNanos > STARTUP_WAIT.toNanos();
        detector.tick(partners, now);
        detector.drainUnreachable().forEach(engine -> reports.markUnreachable(engine, now));
        exchange.tick(partners, now);
        configFetch.tick(partners, now);
        urgent |= backoff.prune(roster, now);
    }

    private void choosePartners() {
        List<Instance> alive =
                roster.peers().stream()
                        .filter(p -> roster.health(p) != Health.DEAD)
                        .filter(p -> detector.isLinkUsable(p.id()))
                        .toList();
        List<InstanceId> ids = alive.stream().map(Instance::id).toList();
        if (!ids.equals(candidates)) {
            candidates = ids;
            partners = settings.partnerChoice().choose(self, alive, settings.partnerCount());
        }
    }

    /** Processes a message; returns a configuration document if the message completes one. */
    Optional<Bytes> receive(InstanceId from, Message message, long now) {
        detector.recordHeard(from, now);
        changed = true;
        switch (message) {
            case Message.Delta delta -> {
                ready |= summaryReceived;
                configFetch.recordVersion(from, delta.configVersion());
                exchange.receive(from, delta, now);
            }
            case Message.Summary summary -> {
                summaryReceived = true;
                exchange.receive(from, summary, now);
            }
            case Message.ProbeRequest request -> detector.receive(from, request, now);
            case Message.ProbeResult result -> detector.receive(from, result, now);
            case Message.ConfigRequest request -> configFetch.receive(from, request, now);
            case Message.ConfigChunk chunk -> {
                return configFetch.receive(from, chunk, now);
            }
        }
        return Optional.empty();
    }

    /** Merges the result of a read of the list. */
    void mergeList(List<Instance> all, long now) {
        roster.mergeList(all, now);
        ready |= roster.peers().isEmpty();
        reports.removeUnlisted();
        changed = true;
    }

    /** Returns the engines to poll now. */
    List<Instance> duePolls(long now) {
        return pollPlan.dueEngines(now);
    }

    /** Returns the engines to poll on behalf of other nodes. */
    List<Instance> requestedPolls() {
        return detector.drainRequestedPolls();
    }

    /** Records an engine's answer to a poll. */
    void recordReport(Instance engine, EngineReport report, long now) {
        reports.recordReport(engine, report, !pollPlan.pollsAll(), now);
        detector.recordPolled(engine.id(), now);
        changed = true;
    }

    /** Records that an engine did not answer a poll. */
    void recordPollFailure(Instance engine, long now) {
        pollPlan.repoll(engine, REPOLL_DELAY, now);
        if (reports.recordFailure(engine, now)) {
            detector.startIndirectProbe(engine, now);
        }
        changed = true;
    }

    /** Records a failed request; returns the endpoint if it is current and was not backing off. */
    Optional<Instance> markSuspect(InstanceId id, long incarnation, long now) {
        Optional<Instance> current = roster.listing(id).filter(i -> i.incarnation() == incarnation);
        if (current.isEmpty() || !backoff.recordFailure(current.get(), now)) {
            return Optional.empty();
        }
        urgent = true;
        return current;
    }

    /** Records that an endpoint answered a request. */
    void markAlive(InstanceId id, long incarnation) {
        urgent |= backoff.recordSuccess(id, incarnation);
    }

    /** Records that an instance accepts no new work. */
    void markLeaving(InstanceId id, long incarnation, long now) {
        if (roster.markLeaving(id, incarnation, now)) {
            changed = true;
            exchange.tick(partners, now);
        }
    }

    /** Builds a view if a state changed, or at a tick if anything else (such as load) changed. */
    Optional<View> changedView(boolean tick, long now) {
        boolean due = changed && tick && now >= viewNanos;
        if (roster.generation() == viewGeneration && !due && !urgent) {
            return Optional.empty();
        }
        changed = false;
        urgent = false;
        viewGeneration = roster.generation();
        viewNanos = pollPlan.pollsAll() ? now : now + VIEW_INTERVAL.toNanos();
        View view = viewBuilder.build(pollPlan.interval(), now);
        return Optional.of(ready ? view : view.withoutEndpoints());
    }

    Duration listInterval() {
        return pollPlan.listInterval();
    }

    Outbox outbox() {
        return outbox;
    }

    Roster roster() {
        return roster;
    }

    List<InstanceId> partners() {
        return partners;
    }
}
