package hyssopturn.port;

/** A call out of the process failed; the subtype shows whether it may have taken effect. */
public abstract sealed class PortException extends RuntimeException
        permits RefusedException, InDoubtException, FailedException, TrimmedException {
    private static final long serialVersionUID = 1L;

    PortException(String message) {
        super(message);
    }

    PortException(String message, Throwable cause) {
        super(message, cause);
    }
}
