package hyssopturn.wire;

/** A received message does not have the expected format. */
public final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message what is wrong
     */
    public MalformedException(String message) {
        super(message);
    }
}
