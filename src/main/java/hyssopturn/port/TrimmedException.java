package hyssopturn.port;

/**
 * The requested records are no longer kept; the reader must load the newest record of each key and
 * continue from there.
 */
public final class TrimmedException extends PortException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message human-readable detail
     */
    public TrimmedException(String message) {
        super(message);
    }
}
