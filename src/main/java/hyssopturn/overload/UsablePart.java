package hyssopturn.overload;

import hyssopturn.admit.DecayingSum;

import java.time.Duration;

/**
 * Part of the engines' memory that new streams may use, by the first events of recent streams:
 * multiplicative decrease when they are late, additive increase while they are fast.
 *
 * <p>Only streams that were started after the last decrease count, since earlier ones do not show
 * its effect.
 */
final class UsablePart {
    /** Part of the target after which a first event shows that engines are overfilled. */
    static final double LATE_PART = 0.6;

    /** Part of late first events that is not attributed to overload. */
    private static final double TOLERATED = 0.1;

    /** Late first events without which nothing is decreased; one may be the fault of an engine. */
    private static final double MIN_LATE = 1.5;

    /** Greatest decrease at once, when all first events are late. */
    private static final double MAX_DECREASE = 0.3;

    private static final double MIN_PART = 0.3;

    /** Use of the memory below which late first events have another cause than lack of memory. */
    private static final double MIN_USE = 0.5;

    private static final double INCREASE_PER_SECOND = 0.04;

    /** Use of the allowed part below which the part does not limit anything. */
    private static final double LIMITING = 0.75;

    private static final Duration SAMPLE_HALF_LIFE = Duration.ofMillis(500);
    private static final Duration QUIET = Duration.ofSeconds(1);

    /** Time without late first events and without a limiting effect that ends an overload. */
    private static final Duration FORGET = Duration.ofSeconds(5);

    private static final double NANOS_PER_SECOND = 1e9;

    private double part = Double.POSITIVE_INFINITY;
    private long decreasedNanos = Long.MIN_VALUE;
    private long lateNanos;
    private long limitedNanos;
    private long grownNanos;
    private DecayingSum late = new DecayingSum(SAMPLE_HALF_LIFE.toNanos());
    private DecayingSum all = new DecayingSum(SAMPLE_HALF_LIFE.toNanos());

    /** Returns whether late first events have limited the part. */
    boolean limited() {
        return part != Double.POSITIVE_INFINITY;
    }

    /** Returns the tokens that may be used. */
    double limit(Room room) {
        double most = room.shared() ? 1 : room.nodes();
        return Math.min(part, most) * room.capacity();
    }

    /** Records a first event, or that one is late or was refused for lack of memory. */
    void record(boolean isLate, long startedNanos, Room room, long nowNanos) {
        if (startedNanos < decreasedNanos) {
            return;
        }
        all.add(1, nowNanos);
        if (!isLate) {
            return;
        }
        late.add(1, nowNanos);
        lateNanos = nowNanos;
        double lateCount = late.value(nowNanos);
        double latePart = lateCount / all.value(nowNanos);
        if (lateCount >= MIN_LATE && latePart > TOLERATED && room.usedPart() >= MIN_USE) {
            decrease(latePart, room, nowNanos);
        }
    }

    private void decrease(double latePart, Room room, long nowNanos) {
        double base = Math.min(part, Math.max(room.usedPart(), MIN_PART));
        part = Math.max(MIN_PART, base * (1 - MAX_DECREASE * latePart));
        decreasedNanos = nowNanos;
        limitedNanos = nowNanos;
        grownNanos = nowNanos;
        late = new DecayingSum(SAMPLE_HALF_LIFE.toNanos());
        all = new DecayingSum(SAMPLE_HALF_LIFE.toNanos());
    }

    /** Raises the part while first events are fast; lifts it once it limits nothing any more. */
    void grow(Room room, boolean held, long nowNanos) {
        if (!limited()) {
            return;
        }
        if (held || room.used() > LIMITING * limit(room)) {
            limitedNanos = nowNanos;
        }
        if (nowNanos - Math.max(limitedNanos, lateNanos) > FORGET.toNanos()) {
            part = Double.POSITIVE_INFINITY;
            return;
        }
        if (nowNanos - lateNanos > QUIET.toNanos()) {
            part += INCREASE_PER_SECOND * (nowNanos - grownNanos) / NANOS_PER_SECOND;
        }
        grownNanos = nowNanos;
    }
}
