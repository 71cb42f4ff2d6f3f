package hyssopturn.share;

import hyssopturn.log.KeyedFollower;

import java.time.Duration;

/**
 * When the streams are read, by a node for itself and by a hub.
 *
 * <p>A hub reads endpoints in two of five parts of the interval of a node's own reads; a question,
 * a lost one and its repetition take two more. So a node whose hub answers knows a change within
 * the interval, as if it read the stream itself.
 *
 * @param endpointInterval time between a node's own reads of endpoints
 * @param configWait time for which a node's own read waits for a configuration
 */
public record ReadPlan(Duration endpointInterval, Duration configWait) {
    /** Long-poll wait for fault reports, and so how long a dead connection may hide them. */
    private static final Duration FAULT_WAIT = Duration.ofSeconds(15);

    /** Pause between reads of fault reports, since several nodes usually report the same fault. */
    private static final Duration FAULT_PAUSE = Duration.ofMillis(100);

    /** Maximum time between questions; a configuration is known this much later at most. */
    private static final Duration MAX_QUESTION_INTERVAL = Duration.ofMillis(400);

    private static final int QUESTIONS_PER_READ = 5;
    private static final int QUESTIONS_PER_HUB_READ = 2;

    /** Part of the wait of a long poll for which that of a hub waits, as a divisor. */
    private static final int CONFIG_WAIT_DIVISOR = 2;

    /** Same for fault reports; the age of a report counts from the beginning of the wait. */
    private static final int FAULT_WAIT_DIVISOR = 3;

    /**
     * Returns the time between questions to a hub.
     *
     * @return the time
     */
    public Duration questionInterval() {
        Duration shortest = min(endpointInterval, configWait).dividedBy(QUESTIONS_PER_READ);
        return min(shortest, MAX_QUESTION_INTERVAL);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /**
     * Returns the timing of the reads of a stream.
     *
     * @param stream the stream
     * @return the timing
     */
    public SharedFollower.Timing timing(SharedStream stream) {
        return switch (stream) {
            case CONFIGURATION ->
                    timing(configWait, configWait.dividedBy(CONFIG_WAIT_DIVISOR), Duration.ZERO);
            case ENDPOINTS -> endpoints();
            case FAULTS ->
                    timing(FAULT_WAIT, FAULT_WAIT.dividedBy(FAULT_WAIT_DIVISOR), FAULT_PAUSE);
        };
    }

    private SharedFollower.Timing endpoints() {
        Duration hubPause =
                endpointInterval.multipliedBy(QUESTIONS_PER_HUB_READ).dividedBy(QUESTIONS_PER_READ);
        return new SharedFollower.Timing(
                new KeyedFollower.Pacing(Duration.ZERO, endpointInterval),
                new KeyedFollower.Pacing(Duration.ZERO, hubPause),
                endpointInterval);
    }

    private static SharedFollower.Timing timing(Duration own, Duration hub, Duration pause) {
        return new SharedFollower.Timing(
                new KeyedFollower.Pacing(own, pause), new KeyedFollower.Pacing(hub, pause), own);
    }
}
