package hyssopturn.admit;

import hyssopturn.model.Target;

/**
 * Ratio of observed to allowed latency, aggregated over fixed intervals.
 *
 * <p>The mean gap ratio of an interval shows a change of load within a fraction of a second. The
 * margin is a quantile, learnt from complete answers, of an answer's gap ratio over the mean of the
 * intervals that it spans, at the share of requests that must meet the target. The pressure is the
 * smoothed mean times the margin, or the ratio of the times to the first part if that is greater.
 */
final class PressureMeter {
    static final long INTERVAL_NANOS = 200_000_000;

    /**
     * Share of the allowed time from arrival to the first part of a stream; pressure is 1 when the
     * time from start to the first part equals it.
     */
    private static final double STREAM_FIRST_PART_SHARE = 0.7;

    /** The same share for work that gives one answer. */
    private static final double ANSWER_SHARE = 0.5;

    private static final double MAX_MARGIN = 1.6;
    private static final double SMOOTHING = 0.5;

    private final Quantile margin;
    private double gapRatioSum;
    private int gapCount;
    private double firstPartRatioSum;
    private int firstPartCount;
    private double smoothedGapRatio;
    private double intervalMeanSum;
    private long intervalCount;
    private long intervalStartNanos = Long.MIN_VALUE;

    PressureMeter(double share) {
        margin = new Quantile(Math.min(share, 0.99), 1.1, 1, MAX_MARGIN);
    }

    /** Records the first part of an answer; the answer spans the intervals from here to its end. */
    void answerStarted(Ticket ticket) {
        ticket.intervalMeanSumAtFirstPart = intervalMeanSum;
        ticket.intervalCountAtFirstPart = intervalCount;
    }

    /** Records the time between two parts of an answer. */
    void addGap(Ticket ticket, long nanos) {
        if (ticket.workClass.target() instanceof Target.Stream(var first, var between)) {
            gapRatioSum += (double) nanos / between.toNanos();
            gapCount++;
        }
    }

    /** Records the time from the start of a request to the first part of its answer. */
    void addFirstPart(Ticket ticket, long nanos) {
        double allowed = ticket.workClass.target().first().toNanos();
        boolean stream = ticket.workClass.target() instanceof Target.Stream;
        firstPartRatioSum += nanos / (allowed * (stream ? STREAM_FIRST_PART_SHARE : ANSWER_SHARE));
        firstPartCount++;
    }

    /** Records a complete answer. */
    void answerEnded(Ticket ticket) {
        long answerIntervals = intervalCount - ticket.intervalCountAtFirstPart;
        double meanRatio =
                (intervalMeanSum - ticket.intervalMeanSumAtFirstPart)
                        / Math.max(1, answerIntervals);
        if (ticket.parts > 2
                && answerIntervals > 0
                && meanRatio > 0
                && ticket.workClass.target() instanceof Target.Stream(var first, var between)) {
            double gap = (double) (ticket.lastNanos - ticket.firstNanos) / (ticket.parts - 1);
            margin.add(gap / between.toNanos() / meanRatio);
        }
    }

    /** Returns whether the current interval is over. */
    boolean intervalIsOver(long nowNanos) {
        if (intervalStartNanos == Long.MIN_VALUE) {
            intervalStartNanos = nowNanos;
        }
        return nowNanos - intervalStartNanos >= INTERVAL_NANOS;
    }

    /** Ends the interval; returns observed over allowed latency, NaN if nothing was observed. */
    double endInterval(long nowNanos) {
        intervalStartNanos = nowNanos;
        double pressure = Double.NaN;
        if (gapCount > 0) {
            double intervalMean = gapRatioSum / gapCount;
            smoothedGapRatio =
                    smoothedGapRatio == 0
                            ? intervalMean
                            : smoothedGapRatio + SMOOTHING * (intervalMean - smoothedGapRatio);
            pressure = smoothedGapRatio * margin.value();
            intervalMeanSum += intervalMean;
            intervalCount++;
        }
        if (firstPartCount > 0) {
            double firstMean = firstPartRatioSum / firstPartCount;
            pressure = Double.isNaN(pressure) ? firstMean : Math.max(pressure, firstMean);
        }
        gapRatioSum = 0;
        gapCount = 0;
        firstPartRatioSum = 0;
        firstPartCount = 0;
        return pressure;
    }
}
