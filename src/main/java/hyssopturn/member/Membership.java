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

/** All decisions on who takes part and who is told what; pure, for one thread at a time. */
final class Membership {
    private static final Duration POLL_AGAIN = Duration.ofMillis(300);

    /** How long a new node waits to hear which endpoints leave before it uses any. */
    private static final Duration SETTLING = Duration.ofSeconds(3);

    private static final Duration VIEW_INTERVAL = Duration.ofSeconds(1);

    private final MemberSettings settings;
    private final Instance self;
    private final ConfigSource config;
    private final Roster roster;
    private final Outbox outbox;
    private final DeltaExchange exchange;
    private final Detector detector;
    private final EngineReports reports;
    private final Evidence evidence = new Evidence();
    private final PollPlan plan;
    private final ConfigFetch configs;
    private final ViewBuilder views;
    private final long startNanos;
    private List<InstanceId> partners = List.of();
    private List<InstanceId> candidates = List.of();
    private long viewGeneration = -1;
    private long viewNanos;
    private boolean met;
    private boolean settled;
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
        detector = new Detector(self, roster, outbox, random, now);
        reports = new EngineReports(self.id(), roster);
        plan = new PollPlan(self, roster, settings.pollInterval(), random);
        configs = new ConfigFetch(config, outbox);
        views = new ViewBuilder(settings, roster, reports, evidence);
    }

    /** Does what is due. */
    void tick(long now) {
        long version = config.version();
        exchange.config(version);
        if (version > 0) {
            roster.learn(new ConfigInForce(self.id(), self.incarnation(), version), now);
        }
        choosePartners();
        settled |= now - startNanos > SETTLING.toNanos();
        detector.tick(partners, now);
        detector.drainVerdicts().forEach(engine -> reports.unreachable(engine, now));
        exchange.tick(partners, now);
        configs.tick(partners, now);
        urgent |= evidence.prune(roster, now);
    }

    private void choosePartners() {
        List<Instance> alive =
                roster.peers().stream()
                        .filter(p -> roster.health(p) != Health.DEAD)
                        .filter(p -> detector.linkWorks(p.id()))
                        .toList();
        List<InstanceId> ids = alive.stream().map(Instance::id).toList();
        if (!ids.equals(candidates)) {
            candidates = ids;
            partners = settings.choice().choose(self, alive, settings.partners());
        }
    }

    /** Takes a message; returns a configuration if it completes one. */
    Optional<Bytes> receive(InstanceId from, Message message, long now) {
        detector.heard(from, now);
        changed = true;
        switch (message) {
            case Message.Delta delta -> {
                settled |= met;
                configs.told(from, delta.config());
                exchange.receive(from, delta, now);
            }
            case Message.Summary summary -> {
                met = true;
                exchange.receive(from, summary, now);
            }
            case Message.ProbeRequest request -> detector.receive(from, request, now);
            case Message.ProbeResult result -> detector.receive(from, result, now);
            case Message.ConfigRequest request -> configs.receive(from, request, now);
            case Message.ConfigChunk chunk -> {
                return configs.receive(from, chunk, now);
            }
        }
        return Optional.empty();
    }

    /** Merges a reading of the list. */
    void listed(List<Instance> all, long now) {
        roster.listed(all, now);
        settled |= roster.peers().isEmpty();
        reports.retain();
        changed = true;
    }

    /** Engines to poll now. */
    List<Instance> polls(long now) {
        return plan.due(now);
    }

    /** Engines to poll for another node. */
    List<Instance> askedPolls() {
        return detector.drainPolls();
    }

    /** Takes an engine's answer to a poll. */
    void answered(Instance engine, EngineReport report, long now) {
        reports.answered(engine, report, !plan.pollsAll(), now);
        detector.polled(engine.id(), now);
        changed = true;
    }

    /** Notes that an engine did not answer a poll. */
    void unanswered(Instance engine, long now) {
        plan.again(engine, POLL_AGAIN, now);
        if (reports.failed(engine, now)) {
            detector.doubt(engine, now);
        }
        changed = true;
    }

    /** Notes that an endpoint failed a request; returns it if that is news. */
    Optional<Instance> suspect(InstanceId id, long incarnation, long now) {
        Optional<Instance> current = roster.listing(id).filter(i -> i.incarnation() == incarnation);
        if (current.isEmpty() || !evidence.failed(current.get(), now)) {
            return Optional.empty();
        }
        urgent = true;
        return current;
    }

    /** Notes that an endpoint answered a request. */
    void alive(InstanceId id, long incarnation) {
        urgent |= evidence.answered(id, incarnation);
    }

    /** Notes that an instance takes no new work. */
    void leaving(InstanceId id, long incarnation, long now) {
        if (roster.leave(id, incarnation, now)) {
            changed = true;
            exchange.tick(partners, now);
        }
    }

    /** Builds a view if something changed: load at a tick, who takes part at once. */
    Optional<View> changedView(boolean tick, long now) {
        boolean due = changed && tick && now >= viewNanos;
        if (roster.generation() == viewGeneration && !due && !urgent) {
            return Optional.empty();
        }
        changed = false;
        urgent = false;
        viewGeneration = roster.generation();
        viewNanos = plan.pollsAll() ? now : now + VIEW_INTERVAL.toNanos();
        View view = views.build(plan.interval(), now);
        return Optional.of(settled ? view : view.withoutEndpoints());
    }

    Duration listInterval() {
        return plan.listInterval();
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
