package hyssopturn.overload;

import hyssopturn.admit.DecayingSum;
import hyssopturn.catalog.Priorities;

import java.time.Duration;
import java.util.stream.IntStream;

/** Tokens of streams that were asked for and started lately, by priority. */
final class PriorityDemand {
    private static final int COUNT = Priorities.LEAST_URGENT + 1;
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double SECONDS_PER_SUM =
            HALF_LIFE.toNanos() / NANOS_PER_SECOND / Math.log(2);

    /**
     * Part of the share of all streams below which a priority is served first. The least urgent
     * must get a quarter; a priority falls short of the bound before it is served.
     */
    private static final double GUARANTEED = 0.4;

    /** Part of the capacity rate that remains for a priority whatever the more urgent ask for. */
    private static final double LEAST_RATE = 0.25;

    /** Time for which the demand of more urgent priorities has room reserved. */
    private static final double RESERVED_SECONDS = 0.4;

    /** Greatest part of the room that is reserved. */
    private static final double MAX_RESERVED = 0.2;

    private final DecayingSum[] asked = sums();
    private final DecayingSum[] started = sums();

    private static DecayingSum[] sums() {
        return IntStream.range(0, COUNT)
                .mapToObj(i -> new DecayingSum(HALF_LIFE.toNanos()))
                .toArray(DecayingSum[]::new);
    }

    void recordAsked(Ticket ticket, long nowNanos) {
        asked[ticket.priority()].add(ticket.tokens(), nowNanos);
    }

    void recordStarted(Ticket ticket, long nowNanos) {
        started[ticket.priority()].add(ticket.tokens(), nowNanos);
    }

    private static double sum(DecayingSum[] sums, int from, int to, long nowNanos) {
        return IntStream.range(from, to).mapToDouble(i -> sums[i].value(nowNanos)).sum();
    }

    /** Returns the tokens of streams started in a second. */
    double startedPerSecond(long nowNanos) {
        return sum(started, 0, COUNT, nowNanos) / SECONDS_PER_SUM;
    }

    /** Returns the tokens in a second that more urgent priorities leave, at least a minimum. */
    double ratePerSecond(int priority, long nowNanos) {
        double all = startedPerSecond(nowNanos);
        double urgent = sum(asked, 0, priority, nowNanos) / SECONDS_PER_SUM;
        return Math.max(all - urgent, LEAST_RATE * all);
    }

    /** Returns the part of what was asked for at a priority that was started. */
    double attained(int priority, long nowNanos) {
        double wanted = asked[priority].value(nowNanos);
        return wanted <= 0 ? 1 : started[priority].value(nowNanos) / wanted;
    }

    /** Returns whether a priority gets so little that it is served before more urgent ones. */
    boolean starved(int priority, long nowNanos) {
        double wanted = sum(asked, 0, COUNT, nowNanos);
        double overall = wanted <= 0 ? 1 : sum(started, 0, COUNT, nowNanos) / wanted;
        return attained(priority, nowNanos) < GUARANTEED * Math.min(1, overall);
    }

    /** Returns the part of the demand that is less urgent than a priority. */
    double lessUrgent(int priority, long nowNanos) {
        double all = sum(asked, 0, COUNT, nowNanos);
        return all <= 0 ? 0 : sum(asked, priority + 1, COUNT, nowNanos) / all;
    }

    /**
     * Returns the tokens that are reserved for more urgent streams: those expected for some time,
     * and the standard deviation of that number if they arrive independently.
     */
    double reserved(int priority, double limit, Room room, double meanCost, long nowNanos) {
        if (starved(priority, nowNanos)) {
            return 0;
        }
        double urgent = sum(asked, 0, priority, nowNanos) / SECONDS_PER_SUM * room.nodes();
        double expected = urgent * (RESERVED_SECONDS + room.ageNanos() / NANOS_PER_SECOND);
        return Math.min(expected + Math.sqrt(expected * meanCost), MAX_RESERVED * limit);
    }
}
