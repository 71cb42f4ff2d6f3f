package hyssopturn.port;

/** A call to the outside failed; the subtype says whether it may have taken effect. */
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
