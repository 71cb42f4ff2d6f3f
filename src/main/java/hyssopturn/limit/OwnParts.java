package hyssopturn.limit;

import com.google.common.flogger.FluentLogger;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What this node may send to endpoints whose issuer it cannot find or reach: its share of a part of
 * the limit, by the partitions that the platform assigned to it.
 *
 * <p>An issuer may go on beside it for other nodes, so all parts together are less than half of the
 * limit. Not thread-safe.
 */
final class OwnParts {
    /** Part of a limit that all nodes without an issuer use together. */
    static final double TOTAL_PART = 0.4;

    /** Time without an issuer after which a node uses its part; longer than a lease. */
    static final Duration WAIT = Duration.ofSeconds(4);

    /** Part that is left to nodes whose assignment is out of date: others may hold it, too. */
    private static final double OUTDATED_PART = TOTAL_PART / 2;

    /** Time without a request after which an endpoint counts no more as one without issuer. */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    private static final Duration MAX_PAUSE = Duration.ofSeconds(3);
    private static final Duration WAIT_PAUSE = Duration.ofMillis(50);
    private static final int WARN_SECONDS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final int partitions;
    private final Clock clock;
    private final Map<EndpointStart, Missing> missing = new HashMap<>();
    private Set<Integer> held = Set.of();
    private long heldUntilNanos;
    private long taken;

    private static final class Missing {
        private final long sinceNanos;
        private long lastNanos;
        private long usedUntilWallNanos;

        Missing(long nowNanos) {
            sinceNanos = nowNanos;
        }
    }

    /**
     * Creates parts of a node without partitions.
     *
     * @param partitions number of partitions that the nodes share
     * @param clock clock
     */
    OwnParts(int partitions, Clock clock) {
        this.partitions = partitions;
        this.clock = clock;
    }

    /** Sets the partitions of this node, and until when no other node can hold them. */
    void assign(Set<Integer> partitionsHeld, long untilNanos) {
        held = Set.copyOf(partitionsHeld);
        heldUntilNanos = untilNanos;
    }

    /** Records that no issuer of an endpoint is known or has answered. */
    void recordMissing(EndpointStart start) {
        long now = clock.nanos();
        if (!missing.containsKey(start)) {
            missing.values().removeIf(m -> now - m.lastNanos > MEMORY.toNanos());
        }
        missing.computeIfAbsent(start, s -> new Missing(now)).lastNanos = now;
    }

    /** Records that the issuer of an endpoint has answered. */
    void recordAnswer(EndpointStart start) {
        missing.remove(start);
    }

    /** Returns the endpoints whose issuer is missing, for however short a time. */
    List<EndpointStart> missing() {
        return List.copyOf(missing.keySet());
    }

    /** Counts the endpoints to which this node sends no more than its part. */
    long count() {
        long now = clock.nanos();
        return missing.values().stream()
                .filter(m -> now - m.lastNanos < MEMORY.toNanos())
                .filter(m -> now - m.sinceNanos >= WAIT.toNanos())
                .count();
    }

    /** Counts the requests that were allowed since the start of the node. */
    long taken() {
        return taken;
    }

    /**
     * Takes the right to send one request to an endpoint whose issuer was recorded as missing.
     *
     * @param start start of the endpoint
     * @param perSecond its limit, in requests per second
     * @return zero if the request may be sent now, otherwise the time to wait
     */
    Duration take(EndpointStart start, double perSecond) {
        Missing entry = missing.get(start);
        long now = clock.nanos();
        if (now - entry.sinceNanos < WAIT.toNanos()) {
            return WAIT_PAUSE;
        }
        double rate = (now < heldUntilNanos ? TOTAL_PART : OUTDATED_PART) * perSecond;
        logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                "no issuer of the limit of %s answers: this node sends %d of %d parts of %.2f/s",
                start.id(), held.size(), partitions, rate);
        int offset = GrantIssuer.partition(start, partitions);
        return take(entry, new SlotSchedule(held, partitions, offset, rate));
    }

    private Duration take(Missing entry, SlotSchedule slots) {
        long wall = clock.wallMillis() * NANOS_PER_MILLI;
        if (entry.usedUntilWallNanos > wall + slots.slotNanos()) {
            entry.usedUntilWallNanos = wall + slots.slotNanos();
        }
        long from = Math.max(entry.usedUntilWallNanos, wall - slots.validNanos() + 1);
        OptionalLong begin = slots.next(from);
        if (begin.isEmpty()) {
            return MAX_PAUSE;
        }
        if (begin.getAsLong() > wall) {
            long wait = Math.min(begin.getAsLong() - wall, MAX_PAUSE.toNanos());
            return Duration.ofNanos(wait);
        }
        entry.usedUntilWallNanos = begin.getAsLong() + slots.slotNanos();
        taken++;
        return Duration.ZERO;
    }
}
