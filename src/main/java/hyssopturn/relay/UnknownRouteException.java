package hyssopturn.relay;

/** A question about routing names something that the node does not know. */
public final class UnknownRouteException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param message what is not known
     */
    public UnknownRouteException(String message) {
        super(message);
    }
}
