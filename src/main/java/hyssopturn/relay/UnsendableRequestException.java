package hyssopturn.relay;

/** Thrown when the head of a request cannot be encoded, so that no endpoint can receive it. */
final class UnsendableRequestException extends RuntimeException {
    private static final long serialVersionUID = 1;

    UnsendableRequestException(RuntimeException cause) {
        super("head cannot be encoded: " + cause.getMessage(), cause);
    }
}
