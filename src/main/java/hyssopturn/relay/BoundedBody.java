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

    /** Thrown when a body is too large to be held; the excess bytes were discarded. */
    public static final class TooLongException extends RuntimeException {
        private static final long serialVersionUID = 1;

        TooLongException(String message) {
            super(message);
        }
    }

    /**
     * Reads a body.
     *
     * @param answer the answer, of which only the head has been read
     * @param clock clock and timer, whose tasks run on the event loop of the answer
     * @param memory limits the bodies that are read at the same time
     * @return the complete body; fails with {@link TooLongException} as soon as the maximum size is
     *     exceeded or the memory is used up, and the caller must then close the connection
     */
    public static Future<Buffer> read(HttpClientResponse answer, Clock clock, AnswerMemory memory) {
        Promise<Buffer> whole = Promise.promise();
        Buffer body = Buffer.buffer();
        ReadPacer pacer = new ReadPacer(clock, answer);
        AnswerMemory.Holding holding =
                memory.hold(
                        () -> whole.tryFail(new TooLongException("memory for answers used up")));
        answer.handler(
                bytes -> {
                    pacer.read(1, bytes.length());
                    if (whole.future().isComplete()) {
                        return;
                    }
                    if (body.length() + (long) bytes.length() <= MAX_BYTES) {
                        body.appendBuffer(bytes);
                        holding.resize(body.length());
                    } else {
                        whole.tryFail(new TooLongException("body of over " + MAX_BYTES + " bytes"));
                    }
                });
        answer.endHandler(v -> whole.tryComplete(body));
        answer.exceptionHandler(whole::tryFail);
        return whole.future().onComplete(r -> holding.release());
    }
}
