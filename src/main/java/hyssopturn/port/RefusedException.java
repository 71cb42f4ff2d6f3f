package hyssopturn.port;

/**
 * The call certainly took no effect: it was not sent, or the receiver refused it before it began.
 */
public final class RefusedException extends PortException {
    private static final long serialVersionUID = 1L;

    /** Why a call took no effect. */
    public enum Reason {
        /** No connection could be made. */
        UNREACHABLE,
        /** The receiver is leaving. */
        DRAINING,
        /** The receiver has no free capacity. */
        OVERLOADED,
        /** The receiver does not hold what the call needs: layers, cached state or version. */
        NOT_HELD,
        /** The call carried an old attempt, position or fencing token. */
        STALE,
        /** The receiver found the call malformed. */
        INVALID
    }

    private final Reason reason;

    /**
     * Creates the error.
     *
     * @param reason why it took no effect
     * @param message human-readable detail
     */
    public RefusedException(Reason reason, String message) {
        super(reason + ": " + message);
        this.reason = reason;
    }

    /**
     * Returns why the call took no effect.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }
}
