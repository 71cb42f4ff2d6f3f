package hyssopturn.relay;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.port.Clock;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reads one request, of which Vert.x has read the head. A head or body that is too large, or a body
 * that its caller does not go on sending, is refused; what still arrives of it is dropped.
 */
final class RequestReader {
    static final int REQUEST_TIMEOUT = 408;

    /** Time added to the operator's idle timeout, for bytes that are on their way. */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    private static final int TOO_LARGE = 413;
    private static final int HEAD_TOO_LARGE = 431;

    /** Bytes that are dropped after a refusal before the connection is closed, at least. */
    private static final long MAX_DROPPED_BYTES = 1L << 24;

    private static final long UNKNOWN = -1;
    private static final String MEMORY_USED_UP = "memory for bodies used up";

    /** Bytes of a header besides its name and value: colon, space and line break. */
    private static final int HEADER_OVERHEAD_BYTES = 4;

    private final HttpServerRequest request;
    private final Clock clock;
    private final Supplier<CallerLimits> limits;
    private final Receiver receiver;
    private final ReadPacer pacer;
    private final BodyMemory.Holding holding;
    private Buffer body = Buffer.buffer();
    private long droppedBytes;
    private long silentSinceNanos;
    private boolean lengthAnnounced;
    private boolean refused;
    private Optional<Clock.Timer> silenceTimer = Optional.empty();

    /** What is done when the body has been read, exactly one of the two. */
    interface Receiver {
        /** Handles the whole body. */
        void complete(Buffer body);

        /** Answers a request whose body is not read. */
        void refuse(int status, String cause);
    }

    /**
     * Creates a reader.
     *
     * @param request the request, of which only the head has been read
     * @param clock clock and timer of the request's event loop
     * @param limits returns the limits in force
     * @param holding holds the bytes of the body until it is released
     * @param receiver handles the body
     */
    RequestReader(
            HttpServerRequest request,
            Clock clock,
            Supplier<CallerLimits> limits,
            BodyMemory.Holding holding,
            Receiver receiver) {
        this.request = request;
        this.clock = clock;
        this.limits = limits;
        this.holding = holding;
        this.receiver = receiver;
        pacer = new ReadPacer(clock, request);
    }

    /** Starts to read. */
    void start() {
        silentSinceNanos = clock.nanos();
        request.handler(this::read);
        request.endHandler(v -> end());
        request.exceptionHandler(e -> stopTimer());
        if (headerBytes() > limits.get().headerBytes()) {
            refuse(HEAD_TOO_LARGE, "head too large");
            return;
        }
        long length = announcedLength();
        lengthAnnounced = length != UNKNOWN;
        if (lengthAnnounced && !reserve(length)) {
            return;
        }
        if (length != 0) {
            watchSilence();
        }
    }

    private long headerBytes() {
        long bytes = 0;
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length();
            bytes += HEADER_OVERHEAD_BYTES;
        }
        return bytes;
    }

    /** Takes the memory for a body whose length is announced, and its limit, before it is read. */
    private boolean reserve(long length) {
        if (length > limits.get().bodyBytes()) {
            refuse(TOO_LARGE, "body too large");
            return false;
        }
        if (!holding.resize(length)) {
            refuse(Call.UNAVAILABLE, MEMORY_USED_UP);
            return false;
        }
        body = Buffer.buffer((int) length);
        return true;
    }

    /** Returns the announced length of the body, or {@link #UNKNOWN} if it arrives in chunks. */
    private long announcedLength() {
        if (request.getHeader("Transfer-Encoding") != null) {
            return UNKNOWN;
        }
        String length = request.getHeader("Content-Length");
        return length == null ? 0 : Long.parseLong(length);
    }

    private void read(Buffer bytes) {
        pacer.read(1, bytes.length());
        if (refused) {
            drop(bytes.length());
            return;
        }
        silentSinceNanos = clock.nanos();
        long length = body.length() + (long) bytes.length();
        if (length > limits.get().bodyBytes()) {
            refuse(TOO_LARGE, "body too large");
        } else if (!lengthAnnounced && !holding.resize(capacity(length))) {
            refuse(Call.UNAVAILABLE, MEMORY_USED_UP);
        } else {
            body.appendBuffer(bytes);
        }
    }

    /** Returns the size of a buffer that grows by doubling, from the number of its bytes. */
    private static long capacity(long length) {
        return length <= 1 ? length : Long.highestOneBit(length - 1) << 1;
    }

    /** Reads on after a refusal, as closing a connection with unread bytes would destroy it. */
    private void drop(int bytes) {
        droppedBytes += bytes;
        if (droppedBytes > Math.max(MAX_DROPPED_BYTES, limits.get().bodyBytes())) {
            request.connection().close();
        }
    }

    private void end() {
        stopTimer();
        if (!refused) {
            receiver.complete(body);
        }
    }

    private void refuse(int status, String cause) {
        refused = true;
        stopTimer();
        holding.release();
        body = Buffer.buffer();
        receiver.refuse(status, cause);
    }

    private void watchSilence() {
        Duration left = silenceLimit().minusNanos(clock.nanos() - silentSinceNanos);
        silenceTimer = Optional.of(clock.after(left, this::checkSilence));
    }

    private Duration silenceLimit() {
        return limits.get().idleTimeout().plus(MARGIN);
    }

    private void checkSilence() {
        if (pacer.paused()) {
            silentSinceNanos = clock.nanos();
        }
        if (clock.nanos() - silentSinceNanos < silenceLimit().toNanos()) {
            watchSilence();
            return;
        }
        refuse(REQUEST_TIMEOUT, "body incomplete");
    }

    private void stopTimer() {
        silenceTimer.ifPresent(Clock.Timer::cancel);
        silenceTimer = Optional.empty();
    }
}
