package hyssopturn.wire;

/** Something that crossed the wire is not in its form. */
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
