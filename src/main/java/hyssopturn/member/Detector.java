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
 * Finds instances that no longer answer.
 *
 * <p>A partner that is silent, or an endpoint that fails, is doubted. Other nodes are asked to
 * probe it, and only if none of them reaches it either is the verdict told to all. A node that
 * itself was late or hears from nobody doubts itself first.
 */
final class Detector {
    private static final Duration SILENCE = Duration.ofMillis(2_500);
    private static final Duration PROBE_WAIT = Duration.ofMillis(800);
    private static final Duration SUSPICION = Duration.ofSeconds(2);
    private static final Duration LATE = Duration.ofSeconds(1);
    private static final Duration SLOW = Duration.ofSeconds(5);
    private static final Duration BAD_LINK = Duration.ofSeconds(10);
    private static final Duration RETRY = Duration.ofSeconds(4);
    private static final int HELPERS = 2;
    private static final int PATIENCE = 3;
    private static final int MAX_RELAYS = 256;

    private final Instance self;
    private final Roster roster;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<InstanceId, Long> watchedSince = new HashMap<>();
    private final Map<InstanceId, Long> heard = new HashMap<>();
    private final Map<InstanceId, Long> badLinks = new HashMap<>();
    private final Map<InstanceId, Doubt> doubts = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<Instance> polls = new ArrayList<>();
    private final List<Instance> verdicts = new ArrayList<>();
    private long lastTickNanos;
    private long resumedNanos;
    private long heardAnyNanos;
    private long retryNanos;

    /** Other nodes are being asked whether they reach a subject. */
    private record Doubt(Instance subject, long startedNanos, long deadlineNanos) {}

    /** Another node asked whether this one reaches a subject. */
    private record Relay(InstanceId asker, long nonce, InstanceId subject, long deadlineNanos) {}

    Detector(Instance self, Roster roster, Outbox outbox, RandomGenerator random, long now) {
        this.self = self;
        this.roster = roster;
        this.outbox = outbox;
        this.random = random;
        lastTickNanos = now;
        resumedNanos = now;
        heardAnyNanos = now;
        retryNanos = now;
    }

    /** Notes that a node's message came. */
    void heard(InstanceId from, long now) {
        heard.put(from, now);
        heardAnyNanos = now;
        badLinks.remove(from);
        doubts.remove(from);
    }

    /** Looks for silence, settles doubts and tries the dead again. */
    void tick(List<InstanceId> partners, long now) {
        if (now - lastTickNanos > LATE.toNanos()) {
            resumedNanos = now;
            doubts.clear();
        }
        lastTickNanos = now;
        watch(partners, now);
        settle(now);
        bury(now);
        retryDead(now);
        relays.values().removeIf(r -> now > r.deadlineNanos());
        badLinks.values().removeIf(until -> now > until);
        heard.keySet().removeIf(id -> !roster.knows(id));
    }

    private void watch(List<InstanceId> partners, long now) {
        watchedSince.keySet().retainAll(partners);
        for (InstanceId partner : partners) {
            long since = watchedSince.computeIfAbsent(partner, p -> now);
            long last = Math.max(Math.max(since, resumedNanos), heard.getOrDefault(partner, since));
            if (now - last > silence(now)) {
                roster.listing(partner).ifPresent(i -> doubt(i, now));
            }
        }
    }

    private long silence(long now) {
        boolean slow = now - resumedNanos < SLOW.toNanos();
        return slow ? 2 * SILENCE.toNanos() : SILENCE.toNanos();
    }

    /** Asks others about an instance, unless that is under way or its state is known. */
    void doubt(Instance subject, long now) {
        if (doubts.containsKey(subject.id()) || roster.health(subject) != Health.ALIVE) {
            return;
        }
        List<Instance> helpers = helpers(subject);
        long wait = helpers.isEmpty() ? 0 : PROBE_WAIT.toNanos();
        doubts.put(subject.id(), new Doubt(subject, now, now + wait));
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
        while (chosen.size() < HELPERS && !others.isEmpty()) {
            chosen.add(others.remove(random.nextInt(others.size())));
        }
        return chosen;
    }

    private void settle(long now) {
        Iterator<Doubt> due = doubts.values().iterator();
        while (due.hasNext()) {
            Doubt doubt = due.next();
            if (now < doubt.deadlineNanos()) {
                continue;
            }
            boolean isolated = now - heardAnyNanos > SILENCE.toNanos() && !roster.peers().isEmpty();
            long patience = doubt.startedNanos() + PATIENCE * SILENCE.toNanos();
            if (isolated && now < patience) {
                continue;
            }
            due.remove();
            condemn(doubt.subject(), now);
        }
    }

    private void condemn(Instance subject, long now) {
        if (subject.role() instanceof Instance.Role.Node) {
            roster.health(subject.id(), Health.SUSPECT, now);
        } else {
            verdicts.add(subject);
        }
    }

    private void bury(long now) {
        for (Instance peer : roster.peers()) {
            boolean due =
                    roster.table()
                            .slot(peer.id(), Kind.LIVENESS)
                            .filter(s -> now - s.learnedNanos() > SUSPICION.toNanos())
                            .isPresent();
            if (due && roster.health(peer) == Health.SUSPECT) {
                roster.health(peer.id(), Health.DEAD, now);
            }
        }
    }

    private void retryDead(long now) {
        if (now < retryNanos) {
            return;
        }
        retryNanos = now + RETRY.toNanos() / 2 + random.nextLong(RETRY.toNanos());
        List<Instance> dead =
                roster.peers().stream().filter(p -> roster.health(p) == Health.DEAD).toList();
        if (dead.isEmpty()) {
            return;
        }
        Instance one = dead.get(random.nextInt(dead.size()));
        outbox.send(one.id(), new ProbeRequest(random.nextLong(), one.id(), held(one.id())), now);
    }

    private Optional<Entry> held(InstanceId id) {
        return roster.table().slot(id, Kind.LIVENESS).map(Table.Slot::entry);
    }

    /** Answers a question or passes it on to its subject. */
    void receive(InstanceId from, ProbeRequest request, long now) {
        request.held().ifPresent(e -> roster.learn(e, Optional.of(from), now));
        if (request.subject().equals(self.id())) {
            answer(from, request.nonce(), self.id(), now);
            return;
        }
        Optional<Instance> subject = roster.listing(request.subject());
        if (subject.isEmpty() || relays.size() >= MAX_RELAYS) {
            return;
        }
        long nonce = random.nextLong();
        long deadline = now + PROBE_WAIT.toNanos();
        relays.put(nonce, new Relay(from, request.nonce(), request.subject(), deadline));
        if (subject.get().role() instanceof Instance.Role.Node) {
            outbox.send(
                    request.subject(),
                    new ProbeRequest(nonce, request.subject(), Optional.empty()),
                    now);
        } else {
            polls.add(subject.get());
        }
    }

    private void answer(InstanceId to, long nonce, InstanceId subject, long now) {
        outbox.send(to, new ProbeResult(nonce, subject, true, held(subject)), now);
    }

    /** Takes an answer, for this node or for one that asked it. */
    void receive(InstanceId from, ProbeResult result, long now) {
        result.held().ifPresent(e -> roster.learn(e, Optional.of(from), now));
        if (!result.alive()) {
            return;
        }
        Relay relay = relays.remove(result.nonce());
        if (relay != null) {
            answer(relay.asker(), relay.nonce(), relay.subject(), now);
        }
        reached(result.subject(), !from.equals(result.subject()), now);
    }

    private void reached(InstanceId subject, boolean byAnother, long now) {
        if (doubts.remove(subject) != null && byAnother) {
            badLinks.put(subject, now + BAD_LINK.toNanos());
            watchedSince.put(subject, now);
        }
    }

    /** Notes that a poll of this node reached an endpoint; whoever asked about it is told. */
    void polled(InstanceId endpoint, long now) {
        doubts.remove(endpoint);
        Iterator<Relay> asked = relays.values().iterator();
        while (asked.hasNext()) {
            Relay relay = asked.next();
            if (relay.subject().equals(endpoint)) {
                asked.remove();
                answer(relay.asker(), relay.nonce(), endpoint, now);
            }
        }
    }

    boolean linkWorks(InstanceId id) {
        return !badLinks.containsKey(id);
    }

    /** Hands out endpoints that another node asks about. */
    List<Instance> drainPolls() {
        List<Instance> result = List.copyOf(polls);
        polls.clear();
        return result;
    }

    /** Hands out endpoints that nobody asked could reach. */
    List<Instance> drainVerdicts() {
        List<Instance> result = List.copyOf(verdicts);
        verdicts.clear();
        return result;
    }
}
