package hyssopturn.admit;

import hyssopturn.model.Reason;

import java.time.Duration;

/** Thrown when a request is refused before anything was sent to an endpoint. */
public final class AdmissionRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Reason reason;
    private final Duration retryAfter;

    /**
     * Creates the exception.
     *
     * @param reason why the request was refused
     * @param message human-readable detail
     * @param retryAfter time after which a retry makes sense
     */
    public AdmissionRefusedException(Reason reason, String message, Duration retryAfter) {
        super(message);
        this.reason = reason;
        this.retryAfter = retryAfter;
    }

    /**
     * Returns why the request was refused.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /**
     * Returns the time after which a retry makes sense.
     *
     * @return time from now
     */
    public Duration retryAfter() {
        return retryAfter;
    }
}
