package hyssopturn.port;

/** The records asked for are no longer kept; read the newest ones and go on from there. */
public final class TrimmedException extends PortException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message detail for people
     */
    public TrimmedException(String message) {
        super(message);
    }
}
