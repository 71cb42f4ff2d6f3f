package hyssopturn.helper;

import java.util.concurrent.CompletionException;

/** Unwraps the errors of futures. */
public final class Causes {
    private Causes() {}

    /**
     * Returns the cause of a {@link CompletionException}, or the error itself if it is none.
     *
     * @param error error with which a future completed
     * @return the original error
     */
    public static Throwable unwrap(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }
}
