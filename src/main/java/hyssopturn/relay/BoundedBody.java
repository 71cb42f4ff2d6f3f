package hyssopturn.relay;

import hyssopturn.port.Clock;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Reads complete bodies of answers up to a maximum size. */
public final class BoundedBody {
    /** Maximum size of a body, in bytes; far above the answers of endpoints and the log. */
    public static final int MAX_BYTES = 8_000_000;

    private BoundedBody() {}

    /** Thrown when a body exceeds the maximum size; the excess bytes were discarded. */
    public static final class TooLongException extends RuntimeException {
        private static final long serialVersionUID = 1;

        TooLongException() {
            super("body of over " + MAX_BYTES + " bytes");
        }
    }

    /**
     * Reads a body.
     *
     * @param answer the answer, of which only the head has been read
     * @param clock clock and timer, whose tasks run on the event loop of the answer
     * @return the complete body; fails with {@link TooLongException} as soon as the maximum size is
     *     exceeded, and the caller must then close the connection
     */
    public static Future<Buffer> read(HttpClientResponse answer, Clock clock) {
        Promise<Buffer> whole = Promise.promise();
        Buffer body = Buffer.buffer();
        ReadPacer pacer = new ReadPacer(clock, answer);
        answer.handler(
                bytes -> {
                    pacer.read(1, bytes.length());
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
