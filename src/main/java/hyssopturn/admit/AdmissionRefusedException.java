package hyssopturn.admit;

import hyssopturn.model.Reason;

import java.time.Duration;

/** A request was refused before anything was sent. */
public final class AdmissionRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Reason reason;
    private final Duration retryAfter;

    /**
     * Creates the error.
     *
     * @param reason why
     * @param message detail for people
     * @param retryAfter when it makes sense to try again
     */
    public AdmissionRefusedException(Reason reason, String message, Duration retryAfter) {
        super(message);
        this.reason = reason;
        this.retryAfter = retryAfter;
    }

    /**
     * Returns why it was refused.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /**
     * Returns when it makes sense to try again.
     *
     * @return time from now
     */
    public Duration retryAfter() {
        return retryAfter;
    }
}
