package hyssopturn.helper;

/** Thrown if an argument violates the contract of the method that received it. */
public final class InvalidArgumentException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the violation
     */
    public InvalidArgumentException(String message) {
        super(message);
    }
}
