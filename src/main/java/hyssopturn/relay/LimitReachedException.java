package hyssopturn.relay;

/** An endpoint's limit on the requests of all nodes is reached, so that nothing was sent to it. */
final class LimitReachedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    LimitReachedException() {
        super("limit reached", null, false, false);
    }
}
