package hyssopturn.port;

/** The call may have taken effect: its bytes may have left and no answer came. */
public final class InDoubtException extends PortException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message detail for people
     */
    public InDoubtException(String message) {
        super(message);
    }

    /**
     * Creates the error.
     *
     * @param message detail for people
     * @param cause what went wrong below
     */
    public InDoubtException(String message, Throwable cause) {
        super(message, cause);
    }
}
