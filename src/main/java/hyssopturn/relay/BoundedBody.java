package hyssopturn.relay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Reads whole bodies of answers, but none that goes on without end. */
public final class BoundedBody {
    /** Longest body that is read, in bytes; far above what endpoints and the log answer. */
    public static final int MAX_BYTES = 8_000_000;

    private BoundedBody() {}

    /** The body was longer than any that is read; what more of it came was not kept. */
    public static final class TooLongException extends RuntimeException {
        private static final long serialVersionUID = 1;

        TooLongException() {
            super("body of over " + MAX_BYTES + " bytes");
        }
    }

    /**
     * Reads a body.
     *
     * @param answer the answer, of which nothing but the head was read
     * @return the whole body; fails with {@link TooLongException} as soon as it is too long, and
     *     the caller must close the connection then
     */
    public static Future<Buffer> read(HttpClientResponse answer) {
        Promise<Buffer> whole = Promise.promise();
        Buffer body = Buffer.buffer();
        answer.handler(
                bytes -> {
                    if (body.length() + (long) bytes.length() <= MAX_BYTES) {
                        body.appendBuffer(bytes);
                    } else {
                        whole.tryFail(new TooLongException());
                    }
                });
        answer.endHandler(v -> whole.tryComplete(body));
        answer.exceptionHandler(whole::tryFail);
        return whole.future();
    }
}
