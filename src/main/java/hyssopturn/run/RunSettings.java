package hyssopturn.run;

import java.time.Duration;

/**
 * Settings of the recovery of runs.
 *
 * @param stallTimeout greatest time without a new token before a run that has executed a step fails
 * @param backoff time before the first retry while no engines can continue the run
 * @param maxBackoff greatest time between two such retries
 * @param avoidTime how long a run avoids an engine after a failure
 * @param moveDelay how long an engine must be missing from the view before cached state is moved
 *     off it
 * @param moveTimeout greatest time that moving cached state may take
 */
public record RunSettings(
        Duration stallTimeout,
        Duration backoff,
        Duration maxBackoff,
        Duration avoidTime,
        Duration moveDelay,
        Duration moveTimeout) {
    /**
     * Returns the default settings.
     *
     * @param stallTimeout greatest time without a new token before a run that has executed a step
     *     fails
     * @return the settings
     */
    public static RunSettings defaults(Duration stallTimeout) {
        return new RunSettings(
                stallTimeout,
                Duration.ofMillis(25),
                Duration.ofMillis(800),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1));
    }
}
