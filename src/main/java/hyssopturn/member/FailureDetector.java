package hyssopturn.member;

import hyssopturn.member.Fact.Health;
import hyssopturn.member.Fact.Kind;
import hyssopturn.member.Message.ProbeRequest;
import hyssopturn.member.Message.ProbeResult;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Detects failed instances by timeouts and indirect probes.
 *
 * <p>When a partner is silent or an endpoint does not answer polls, this node requests other nodes
 * to probe it. Only if none of them reaches it either, a node is marked as suspected and an
 * endpoint as unreachable, for all nodes. A node whose own ticks were late drops its pending probes
 * and waits longer, and one that receives no messages at all delays its conclusions, because the
 * fault may be its own.
 */
final class FailureDetector {
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2_500);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);
    private static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(2);

    /** Interval between ticks above which this node counts as paused and resumed. */
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(1);

    /** Time after a resume for which the silence timeout is doubled. */
    private static final Duration RESUME_PERIOD = Duration.ofSeconds(5);

    /** Time for which a node that only others reach is not chosen as a partner. */
    private static final Duration BAD_LINK_PERIOD = Duration.ofSeconds(10);

    private static final Duration DEAD_PROBE_INTERVAL = Duration.ofSeconds(4);
    private static final int PROBE_HELPERS = 2;

    /** Silence timeouts for which a node that receives no messages delays its conclusions. */
    private static final int MAX_ISOLATED_TIMEOUTS = 3;

    private static final int MAX_RELAYED_PROBES = 256;

    private final Instance self;
    private final Roster roster;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<InstanceId, Long> monitoredSinceNanos = new HashMap<>();
    private final Map<InstanceId, Long> lastHeardNanos = new HashMap<>();
    private final Map<InstanceId, Long> badLinkUntilNanos = new HashMap<>();
    private final Map<InstanceId, IndirectProbe> indirectProbes = new HashMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
    private final List<Instance> requestedPolls = new ArrayList<>();
    private final List<Instance> unreachable = new ArrayList<>();
    private long lastTickNanos;
    private long resumedNanos;
    private long lastHeardAnyNanos;
    private long nextDeadProbeNanos;

    /** A pending indirect probe: other nodes were requested to probe a subject. */
    private record IndirectProbe(Instance subject, long startedNanos, long deadlineNanos) {}

    /** A pending probe that another node requested from this one. */
    private record RelayedProbe(
            InstanceId requester, long nonce, InstanceId subject, long deadlineNanos) {}

    FailureDetector(Instance self, Roster roster, Outbox outbox, RandomGenerator random, long now) {
        this.self = self;
        this.roster = roster;
        this.outbox = outbox;
        this.random = random;
        lastTickNanos = now;
        resumedNanos = now;
        lastHeardAnyNanos = now;
        nextDeadProbeNanos = now;
    }

    /** Records that a message of a node was received. */
    void recordHeard(InstanceId from, long now) {
        lastHeardNanos.put(from, now);
        lastHeardAnyNanos = now;
        badLinkUntilNanos.remove(from);
        indirectProbes.remove(from);
    }

    /** Checks for silent partners, concludes due probes and probes a dead node again. */
    void tick(List<InstanceId> partners, long now) {
        if (now - lastTickNanos > MAX_TICK_GAP.toNanos()) {
            resumedNanos = now;
            indirectProbes.clear();
        }
        lastTickNanos = now;
        checkSilence(partners, now);
        concludeProbes(now);
        declareDead(now);
        probeDeadNode(now);
        relayedProbes.values().removeIf(r -> now > r.deadlineNanos());
        badLinkUntilNanos.values().removeIf(until -> now > until);
        lastHeardNanos.keySet().removeIf(id -> !roster.contains(id));
    }

    private void checkSilence(List<InstanceId> partners, long now) {
        monitoredSinceNanos.keySet().retainAll(partners);
        for (InstanceId partner : partners) {
            long since = monitoredSinceNanos.computeIfAbsent(partner, p -> now);
            long last =
                    Math.max(
                            Math.max(since, resumedNanos),
                            lastHeardNanos.getOrDefault(partner, since));
            if (now - last > silenceTimeoutNanos(now)) {
                roster.listing(partner).ifPresent(i -> startIndirectProbe(i, now));
            }
        }
    }

    private long silenceTimeoutNanos(long now) {
        boolean resuming = now - resumedNanos < RESUME_PERIOD.toNanos();
        return resuming ? 2 * SILENCE_TIMEOUT.toNanos() : SILENCE_TIMEOUT.toNanos();
    }

    /** Requests other nodes to probe an instance, unless a probe is pending or it is not alive. */
    void startIndirectProbe(Instance subject, long now) {
        if (indirectProbes.containsKey(subject.id()) || roster.health(subject) != Health.ALIVE) {
            return;
        }
        List<Instance> helpers = helpers(subject);
        long wait = helpers.isEmpty() ? 0 : PROBE_TIMEOUT.toNanos();
        indirectProbes.put(subject.id(), new IndirectProbe(subject, now, now + wait));
        for (Instance helper : helpers) {
            outbox.send(
                    helper.id(),
                    new ProbeRequest(random.nextLong(), subject.id(), Optional.empty()),
                    now);
        }
    }

    private List<Instance> helpers(Instance subject) {
        List<Instance> others = new ArrayList<>();
        for (Instance peer : roster.peers()) {
            if (!peer.id().equals(subject.id()) && roster.health(peer) == Health.ALIVE) {
                others.add(peer);
            }
        }
        List<Instance> chosen = new ArrayList<>();
        while (chosen.size() < PROBE_HELPERS && !others.isEmpty()) {
            chosen.add(others.remove(random.nextInt(others.size())));
        }
        return chosen;
    }

    private void concludeProbes(long now) {
        Iterator<IndirectProbe> due = indirectProbes.values().iterator();
        while (due.hasNext()) {
            IndirectProbe probe = due.next();
            if (now < probe.deadlineNanos()) {
                continue;
            }
            boolean isolated =
                    now - lastHeardAnyNanos > SILENCE_TIMEOUT.toNanos()
                            && !roster.peers().isEmpty();
            long isolatedDeadline =
                    probe.startedNanos() + MAX_ISOLATED_TIMEOUTS * SILENCE_TIMEOUT.toNanos();
            if (isolated && now < isolatedDeadline) {
                continue;
            }
            due.remove();
            recordUnreachable(probe.subject(), now);
        }
    }

    private void recordUnreachable(Instance subject, long now) {
        if (subject.role() instanceof Instance.Role.Node) {
            roster.health(subject.id(), Health.SUSPECT, now);
        } else {
            unreachable.add(subject);
        }
    }

    private void declareDead(long now) {
        for (Instance peer : roster.peers()) {
            boolean due =
                    roster.table()
                            .slot(peer.id(), Kind.LIVENESS)
                            .filter(s -> now - s.learnedNanos() > SUSPICION_TIMEOUT.toNanos())
                            .isPresent();
            if (due && roster.health(peer) == Health.SUSPECT) {
                roster.health(peer.id(), Health.DEAD, now);
            }
        }
    }

    private void probeDeadNode(long now) {
        if (now < nextDeadProbeNanos) {
            return;
        }
        nextDeadProbeNanos =
                now
                        + DEAD_PROBE_INTERVAL.toNanos() / 2
                        + random.nextLong(DEAD_PROBE_INTERVAL.toNanos());
        List<Instance> dead =
                roster.peers().stream().filter(p -> roster.health(p) == Health.DEAD).toList();
        if (dead.isEmpty()) {
            return;
        }
        Instance target = dead.get(random.nextInt(dead.size()));
        outbox.send(
                target.id(),
                new ProbeRequest(random.nextLong(), target.id(), livenessEntry(target.id())),
                now);
    }

    private Optional<FactEntry> livenessEntry(InstanceId id) {
        return roster.table().slot(id, Kind.LIVENESS).map(FactTable.Slot::entry);
    }

    /** Answers a probe of this node, or probes the subject for the sender. */
    void receive(InstanceId from, ProbeRequest request, long now) {
        request.liveness().ifPresent(e -> roster.merge(e, Optional.of(from), now));
        if (request.subject().equals(self.id())) {
            answer(from, request.nonce(), self.id(), now);
            return;
        }
        Optional<Instance> subject = roster.listing(request.subject());
        if (subject.isEmpty() || relayedProbes.size() >= MAX_RELAYED_PROBES) {
            return;
        }
        long nonce = random.nextLong();
        long deadline = now + PROBE_TIMEOUT.toNanos();
        relayedProbes.put(
                nonce, new RelayedProbe(from, request.nonce(), request.subject(), deadline));
        if (subject.get().role() instanceof Instance.Role.Node) {
            outbox.send(
                    request.subject(),
                    new ProbeRequest(nonce, request.subject(), Optional.empty()),
                    now);
        } else {
            requestedPolls.add(subject.get());
        }
    }

    private void answer(InstanceId to, long nonce, InstanceId subject, long now) {
        outbox.send(to, new ProbeResult(nonce, subject, true, livenessEntry(subject)), now);
    }

    /** Processes a probe result and forwards it if another node requested the probe. */
    void receive(InstanceId from, ProbeResult result, long now) {
        result.liveness().ifPresent(e -> roster.merge(e, Optional.of(from), now));
        if (!result.alive()) {
            return;
        }
        RelayedProbe relay = relayedProbes.remove(result.nonce());
        if (relay != null) {
            answer(relay.requester(), relay.nonce(), relay.subject(), now);
        }
        recordReached(result.subject(), !from.equals(result.subject()), now);
    }

    private void recordReached(InstanceId subject, boolean byAnother, long now) {
        if (indirectProbes.remove(subject) != null && byAnother) {
            badLinkUntilNanos.put(subject, now + BAD_LINK_PERIOD.toNanos());
            monitoredSinceNanos.put(subject, now);
        }
    }

    /** Records that an endpoint answered a poll, and answers the nodes that requested a probe. */
    void recordPolled(InstanceId endpoint, long now) {
        indirectProbes.remove(endpoint);
        Iterator<RelayedProbe> requested = relayedProbes.values().iterator();
        while (requested.hasNext()) {
            RelayedProbe relay = requested.next();
            if (relay.subject().equals(endpoint)) {
                requested.remove();
                answer(relay.requester(), relay.nonce(), endpoint, now);
            }
        }
    }

    boolean isLinkUsable(InstanceId id) {
        return !badLinkUntilNanos.containsKey(id);
    }

    /** Returns and clears the endpoints that other nodes requested to probe. */
    List<Instance> drainRequestedPolls() {
        List<Instance> result = List.copyOf(requestedPolls);
        requestedPolls.clear();
        return result;
    }

    /** Returns and clears the endpoints that no probing node reached. */
    List<Instance> drainUnreachable() {
        List<Instance> result = List.copyOf(unreachable);
        unreachable.clear();
        return result;
    }
}
