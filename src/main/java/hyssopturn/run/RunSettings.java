package hyssopturn.run;

import java.time.Duration;

/**
 * Settings of the recovery of runs.
 *
 * @param patience how long a run that has begun may go without a token
 * @param backoff time before the first new try while no engines can go on
 * @param maxBackoff greatest time between two such tries
 * @param avoid how long a run avoids an engine that failed it
 * @param moveAfter how long an engine must have left the view before its runs move away
 * @param moveLimit greatest time that moving cached state may take
 */
public record RunSettings(
        Duration patience,
        Duration backoff,
        Duration maxBackoff,
        Duration avoid,
        Duration moveAfter,
        Duration moveLimit) {
    /**
     * Returns the usual settings.
     *
     * @param patience how long a run that has begun may go without a token
     * @return the settings
     */
    public static RunSettings usual(Duration patience) {
        return new RunSettings(
                patience,
                Duration.ofMillis(25),
                Duration.ofMillis(800),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1));
    }
}
