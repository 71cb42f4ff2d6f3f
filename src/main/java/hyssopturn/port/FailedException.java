package hyssopturn.port;

/** The receiver ran the call and reported that it failed. */
public final class FailedException extends PortException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message detail from the receiver
     */
    public FailedException(String message) {
        super(message);
    }
}
