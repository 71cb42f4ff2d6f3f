package hyssopturn.admit;

import hyssopturn.model.Target;

/**
 * Observed times against the target, gathered over intervals.
 *
 * <p>The mean over an interval shows a change of load within a fraction of a second; the margin,
 * learnt from whole requests, says how much longer than that mean the share of requests that must
 * meet the target may take.
 */
final class Pace {
    static final long INTERVAL_NANOS = 200_000_000;
    private static final double FIRST_PART = 0.7;
    private static final double ANSWER_PART = 0.5;
    private static final double MAX_MARGIN = 1.6;
    private static final double SMOOTHING = 0.5;

    private final Quantile margin;
    private double sum;
    private int count;
    private double firstSum;
    private int firstCount;
    private double mean;
    private double total;
    private long intervals;
    private long startNanos = Long.MIN_VALUE;

    Pace(double share) {
        margin = new Quantile(Math.min(share, 0.99), 1.1, 1, MAX_MARGIN);
    }

    /** Notes that a request's first part came. */
    void begin(Ticket ticket) {
        ticket.paceTotal = total;
        ticket.paceIntervals = intervals;
    }

    /** Takes in the time between two parts of an answer. */
    void between(Ticket ticket, long nanos) {
        if (ticket.workClass.target() instanceof Target.Stream(var first, var between)) {
            sum += (double) nanos / between.toNanos();
            count++;
        }
    }

    /** Takes in the time from start to the first part. */
    void first(Ticket ticket, long nanos) {
        double allowed = ticket.workClass.target().first().toNanos();
        boolean stream = ticket.workClass.target() instanceof Target.Stream;
        firstSum += nanos / (allowed * (stream ? FIRST_PART : ANSWER_PART));
        firstCount++;
    }

    /** Takes in a whole answer. */
    void whole(Ticket ticket) {
        long lasted = intervals - ticket.paceIntervals;
        double usual = (total - ticket.paceTotal) / Math.max(1, lasted);
        if (ticket.parts > 2
                && lasted > 0
                && usual > 0
                && ticket.workClass.target() instanceof Target.Stream(var first, var between)) {
            double gap = (double) (ticket.lastNanos - ticket.firstNanos) / (ticket.parts - 1);
            margin.add(gap / between.toNanos() / usual);
        }
    }

    /** Tells whether an interval is over. */
    boolean due(long nowNanos) {
        if (startNanos == Long.MIN_VALUE) {
            startNanos = nowNanos;
        }
        return nowNanos - startNanos >= INTERVAL_NANOS;
    }

    /** Ends the interval; returns observed over allowed time, NaN if nothing was observed. */
    double take(long nowNanos) {
        startNanos = nowNanos;
        double pressure = Double.NaN;
        if (count > 0) {
            double now = sum / count;
            mean = mean == 0 ? now : mean + SMOOTHING * (now - mean);
            pressure = mean * margin.value();
            total += now;
            intervals++;
        }
        if (firstCount > 0) {
            double first = firstSum / firstCount;
            pressure = Double.isNaN(pressure) ? first : Math.max(pressure, first);
        }
        sum = 0;
        count = 0;
        firstSum = 0;
        firstCount = 0;
        return pressure;
    }
}
