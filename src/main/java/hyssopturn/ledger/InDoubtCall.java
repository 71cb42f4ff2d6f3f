package hyssopturn.ledger;

import java.time.Duration;

/**
 * A claimed call whose outcome is not in the log.
 *
 * @param key the call
 * @param author process that claimed it
 * @param number number of the claim among those of its author
 * @param wallMillis wall time of the claim at its author, in milliseconds since 1970
 * @param age elapsed time since the claim, by the ledger's own time
 * @param reported true if its author has reported that it does not know the outcome
 */
public record InDoubtCall(
        CallKey key, String author, long number, long wallMillis, Duration age, boolean reported) {}
