package hyssopturn.helper;

/** An argument breaks the contract of the method that received it. */
public final class InvalidArgumentException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message what is wrong
     */
    public InvalidArgumentException(String message) {
        super(message);
    }
}
