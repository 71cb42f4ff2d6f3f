package hyssopturn.limit;

import hyssopturn.limit.LimitMessage.Verdict;
import hyssopturn.model.Address;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Issues the grants under which all nodes send requests to endpoints that named a limit.
 *
 * <p>One node issues the grants of an endpoint, so the sum of all nodes is what its bucket yields,
 * however callers are spread over the nodes. A node that does not know whether it is still the
 * issuer, or that stands in for one, issues less: an issuer that it does not know of may issue all.
 * Not thread-safe.
 */
final class GrantIssuer {
    /** Part of a limit that a node issues which is not known to be the only issuer. */
    private static final double UNCONFIRMED_PART = 0.4;

    /** Least rate, in requests per second: only an answer can tell that a limit was lifted. */
    private static final double MIN_RATE = 0.1;

    /** Number of questions for each request that may be sent, of all nodes together. */
    private static final double ASKS_PER_GRANT = 3;

    /** Time for which a node that asked counts as one that has requests. */
    private static final Duration ASKER_MEMORY = Duration.ofSeconds(2);

    private static final Duration MIN_PAUSE = Duration.ofMillis(20);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(3);

    /** Time without a question after which an endpoint is forgotten. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(60);

    /** Least change of a limit that other nodes are told at once, as a part of it. */
    private static final double TOLD_CHANGE = 0.2;

    private static final int MAX_ENTRIES = 4_096;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private final int partitions;
    private final IssuerDirectory directory;
    private final Map<EndpointStart, Issue> issues = new HashMap<>();
    private Set<Integer> held = Set.of();
    private long heldUntilNanos;
    private boolean everAssigned;

    private static final class Issue {
        private final TokenBucket bucket;
        private final Map<Address, Long> askers = new HashMap<>();
        private final DeputyPart deputyPart = new DeputyPart();
        private NamedLimit named;
        private OptionalDouble told = OptionalDouble.empty();
        private long askedNanos;

        Issue(NamedLimit named, long nowNanos) {
            this.named = named;
            askedNanos = nowNanos;
            bucket = new TokenBucket(MIN_RATE, nowNanos);
        }
    }

    /**
     * Creates an issuer without partitions.
     *
     * @param partitions number of partitions that the nodes share
     * @param random source of the spread of questions
     * @param directory holders of the partitions
     */
    GrantIssuer(int partitions, RandomGenerator random, IssuerDirectory directory) {
        this.directory = directory;
        this.partitions = partitions;
        this.random = random;
    }

    /** Returns the partition that the grants of an endpoint belong to. */
    static int partition(EndpointStart start, int partitions) {
        return Math.floorMod(start.id().value().hashCode(), partitions);
    }

    /** Sets the partitions of this node, and until when no other node can hold them. */
    void assign(Set<Integer> partitionsHeld, long untilNanos) {
        held = Set.copyOf(partitionsHeld);
        heldUntilNanos = untilNanos;
        everAssigned = true;
    }

    /** Returns whether no other node can hold the partition of an endpoint now. */
    boolean confirmed(EndpointStart start, long nowNanos) {
        return fresh(nowNanos) && held.contains(partition(start, partitions));
    }

    private boolean fresh(long nowNanos) {
        return everAssigned && nowNanos < heldUntilNanos;
    }

    /** Returns the rate that a limit stands for, in requests per second; positive. */
    static double rate(NamedLimit named) {
        return Math.max(MIN_RATE, named.perSecond().orElseThrow());
    }

    /** Notes what was heard of a limit. */
    void hear(EndpointStart start, HeardLimit heard, long nowNanos) {
        Issue issue = issues.get(start);
        Optional<NamedLimit> known = Optional.ofNullable(issue).map(i -> i.named);
        NamedLimit named = NamedLimit.afterMessage(known, heard, nowNanos);
        if (issue == null) {
            forgetIdle(nowNanos);
            issue = new Issue(named, nowNanos);
            issues.put(start, issue);
        }
        issue.named = named;
    }

    /** Returns what all nodes should be told of a limit, empty if they were told already. */
    Optional<NamedLimit> takeNews(EndpointStart start) {
        Issue issue = issues.get(start);
        if (issue == null || !differs(issue.told, issue.named.perSecond())) {
            return Optional.empty();
        }
        issue.told = issue.named.perSecond();
        return Optional.of(issue.named);
    }

    private static boolean differs(OptionalDouble told, OptionalDouble now) {
        if (told.isEmpty() || now.isEmpty()) {
            return !told.equals(now);
        }
        double change = Math.abs(now.getAsDouble() - told.getAsDouble());
        return change > TOLD_CHANGE * told.getAsDouble();
    }

    /** Answers a question, after what it tells was heard. */
    LimitMessage.Reply answer(Address from, LimitMessage.Ask ask, long nowNanos) {
        Issue issue = issues.get(ask.start());
        issue.askedNanos = nowNanos;
        boolean fresh = fresh(nowNanos);
        boolean holds = held.contains(partition(ask.start(), partitions));
        if (fresh && !holds && !ask.deputy()) {
            return reply(ask, issue, Verdict.NOT_ISSUER, Duration.ZERO, nowNanos);
        }
        if (!issue.named.limited()) {
            return reply(ask, issue, Verdict.GRANTED, Duration.ZERO, nowNanos);
        }
        double rate = rate(issue.named) * part(issue, from, ask, nowNanos);
        issue.bucket.rate(rate, nowNanos);
        issue.askers.put(from, nowNanos);
        if (issue.bucket.tryTake(nowNanos)) {
            return reply(ask, issue, Verdict.GRANTED, Duration.ZERO, nowNanos);
        }
        return reply(ask, issue, Verdict.NO_ROOM, pause(issue, rate, nowNanos), nowNanos);
    }

    private double part(Issue issue, Address from, LimitMessage.Ask ask, long nowNanos) {
        if (confirmed(ask.start(), nowNanos)) {
            return confirmedPart();
        }
        boolean holds = held.contains(partition(ask.start(), partitions));
        return ask.deputy() && !holds
                ? issue.deputyPart.ask(from, directory::share, nowNanos)
                : UNCONFIRMED_PART;
    }

    /** Returns the part of the only issuer; nodes that do not know each other use their own. */
    private double confirmedPart() {
        double othersShare = 1 - (double) held.size() / partitions;
        return directory.nodes().isEmpty() ? 1 - OwnParts.TOTAL_PART * othersShare : 1;
    }

    private static LimitMessage.Reply reply(
            LimitMessage.Ask ask, Issue issue, Verdict verdict, Duration pause, long nowNanos) {
        HeardLimit heard = issue.named.tell(nowNanos);
        return new LimitMessage.Reply(
                ask.id(), ask.start(), heard, verdict, pause, Optional.empty());
    }

    /**
     * Returns when to ask again: so that all nodes that have requests together ask a few times for
     * each grant.
     */
    private Duration pause(Issue issue, double rate, long nowNanos) {
        issue.askers.values().removeIf(asked -> nowNanos - asked > ASKER_MEMORY.toNanos());
        double mean = issue.askers.size() / (ASKS_PER_GRANT * rate);
        long spread = (long) (mean * (0.5 + random.nextDouble()) * NANOS_PER_SECOND);
        long nanos = Math.max(spread, issue.bucket.untilToken(nowNanos).toNanos());
        return Duration.ofNanos(Math.clamp(nanos, MIN_PAUSE.toNanos(), MAX_PAUSE.toNanos()));
    }

    private void forgetIdle(long nowNanos) {
        issues.values().removeIf(i -> nowNanos - i.askedNanos > IDLE_TIME.toNanos());
        if (issues.size() >= MAX_ENTRIES) {
            issues.clear();
        }
    }
}
