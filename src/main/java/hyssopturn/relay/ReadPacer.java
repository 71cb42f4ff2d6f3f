package hyssopturn.relay;

import hyssopturn.port.Clock;

import io.vertx.core.streams.ReadStream;

import java.time.Duration;

/**
 * Limits the rate at which small pieces of one message are read.
 *
 * <p>The cost of a piece hardly depends on its size, so a sender of many tiny ones could occupy the
 * event loop with few bytes. Its connection is not read for a while; nothing is lost.
 */
public final class ReadPacer {
    /** Size from which a piece is not counted, in bytes. */
    static final int SMALL_BYTES = 512;

    /** Number of small pieces that may be read at once. */
    static final int BURST_PIECES = 1_000;

    /** Rate at which small pieces are read after the burst. */
    static final int PIECES_PER_SECOND = 4_000;

    /** Number of pieces after which the clock is read. */
    private static final int CHECK_PIECES = 64;

    private static final double NANOS_PER_PIECE = 1e9 / PIECES_PER_SECOND;

    private final Clock clock;
    private final Runnable pause;
    private final Runnable resume;
    private double credit = BURST_PIECES;
    private double uncounted;
    private long countedNanos;
    private boolean overRate;
    private boolean receiverFull;

    /**
     * Creates a pacer of a message.
     *
     * @param clock clock and timer, whose tasks run where the message is read
     * @param message the message, which no one else pauses or resumes
     */
    public ReadPacer(Clock clock, ReadStream<?> message) {
        this(clock, message::pause, message::resume);
    }

    /**
     * Creates a pacer of a connection or message.
     *
     * @param clock clock and timer, whose tasks run where it is read
     * @param pause stops reading
     * @param resume reads on
     */
    public ReadPacer(Clock clock, Runnable pause, Runnable resume) {
        this.clock = clock;
        this.pause = pause;
        this.resume = resume;
        countedNanos = clock.nanos();
    }

    /**
     * Counts bytes that were read, and pauses the message if too many small pieces were.
     *
     * @param pieces number of pieces
     * @param bytes size of all of them, in bytes
     */
    public void read(int pieces, int bytes) {
        uncounted += Math.max(0, pieces - (double) bytes / SMALL_BYTES);
        if (uncounted >= CHECK_PIECES) {
            count();
        }
    }

    private void count() {
        long now = clock.nanos();
        double earned = (now - countedNanos) / NANOS_PER_PIECE;
        credit = Math.min(BURST_PIECES, credit + earned) - uncounted;
        countedNanos = now;
        uncounted = 0;
        if (credit < 0 && !overRate) {
            overRate = true;
            pause.run();
            clock.after(Duration.ofNanos((long) (-credit * NANOS_PER_PIECE)), this::withinRate);
        }
    }

    private void withinRate() {
        overRate = false;
        resumeIfPossible();
    }

    /** Returns whether the message is not being read now. */
    boolean paused() {
        return overRate || receiverFull;
    }

    /** Pauses the message until its receiver has room again. */
    void pause() {
        receiverFull = true;
        pause.run();
    }

    /** Resumes the message after a pause for its receiver. */
    void resume() {
        receiverFull = false;
        resumeIfPossible();
    }

    private void resumeIfPossible() {
        if (!overRate && !receiverFull) {
            resume.run();
        }
    }
}
