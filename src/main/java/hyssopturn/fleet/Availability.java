package hyssopturn.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * What one start of an endpoint has said about itself in its answers: that it is shutting down, or
 * that it wants no requests for some time. Not thread-safe.
 */
final class Availability {
    /** Longest time after a pause in which the endpoint's share of requests grows. */
    static final Duration MAX_RAMP = Duration.ofSeconds(1);

    private Optional<Long> shutdownNanos = Optional.empty();
    private Optional<Pause> pause = Optional.empty();

    private record Pause(long beginNanos, long endNanos) {
        long rampNanos() {
            return Math.min(MAX_RAMP.toNanos(), endNanos - beginNanos);
        }
    }

    /** Records that the endpoint announced its shutdown; returns true if that is new. */
    boolean announceShutdown(long nowNanos) {
        if (shutdownNanos.isPresent()) {
            return false;
        }
        shutdownNanos = Optional.of(nowNanos);
        return true;
    }

    /** Returns whether the endpoint announced its shutdown less than a period ago. */
    boolean shuttingDownSinceLessThan(Duration period, long nowNanos) {
        return shutdownNanos.filter(since -> nowNanos - since < period.toNanos()).isPresent();
    }

    /**
     * Records that the endpoint asked for a pause, which never shortens an earlier one; returns
     * true if it was not paused before.
     */
    boolean pause(Duration length, long nowNanos) {
        boolean begins = !paused(nowNanos);
        long endNanos = nowNanos + length.toNanos();
        pause =
                Optional.of(
                        begins
                                ? new Pause(nowNanos, endNanos)
                                : pause.map(p -> extended(p, endNanos)).orElseThrow());
        return begins;
    }

    private static Pause extended(Pause pause, long endNanos) {
        return new Pause(pause.beginNanos(), Math.max(pause.endNanos(), endNanos));
    }

    /** Returns whether the endpoint wants no requests now. */
    boolean paused(long nowNanos) {
        return pauseLeft(nowNanos).isPresent();
    }

    /** Returns the time until the pause ends, empty if there is none. */
    Optional<Duration> pauseLeft(long nowNanos) {
        return pause.map(p -> p.endNanos() - nowNanos)
                .filter(left -> left > 0)
                .map(Duration::ofNanos);
    }

    /**
     * Returns the part of its usual requests that the endpoint should get now: 0 during a pause,
     * growing to 1 after it.
     */
    double share(long nowNanos) {
        return pause.map(p -> Math.clamp(part(p, nowNanos), 0, 1)).orElse(1.0);
    }

    private static double part(Pause pause, long nowNanos) {
        return (nowNanos - pause.endNanos()) / (double) Math.max(1, pause.rampNanos());
    }
}
