package hyssopturn.helper;

import java.util.concurrent.CompletionException;

/** Errors as their senders threw them. */
public final class Causes {
    private Causes() {}

    /**
     * Takes off the wrapper that futures put around an error.
     *
     * @param error error that a future ended with
     * @return the error itself
     */
    public static Throwable of(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }
}
