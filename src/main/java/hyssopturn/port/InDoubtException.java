package hyssopturn.port;

/** The call may have taken effect: its bytes may have been sent and no valid answer arrived. */
public final class InDoubtException extends PortException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message human-readable detail
     */
    public InDoubtException(String message) {
        super(message);
    }

    /**
     * Creates the error.
     *
     * @param message human-readable detail
     * @param cause underlying error
     */
    public InDoubtException(String message, Throwable cause) {
        super(message, cause);
    }
}
