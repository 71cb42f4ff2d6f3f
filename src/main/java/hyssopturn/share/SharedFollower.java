package hyssopturn.share;

import hyssopturn.log.Backoff;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiPredicate;

/** A stream that this node reads by itself, for others, or lets others read. */
public final class SharedFollower {
    /**
     * Time after a listing during which the node reads the stream itself, so that it receives an
     * announcement of each endpoint after the listing.
     */
    static final Duration SETTLE_TIME = Duration.ofSeconds(4);

    private final SharedStream stream;
    private final Timing timing;
    private final Clock clock;
    private final StreamRing ring;
    private final KeyedFollower follower;
    private double savedReads;

    /**
     * Timing of the reads.
     *
     * @param own when the node reads for itself
     * @param hub when the node reads for others
     * @param maxAge greatest age of what others have read
     */
    public record Timing(KeyedFollower.Pacing own, KeyedFollower.Pacing hub, Duration maxAge) {}

    /**
     * Creates a follower that has not started.
     *
     * @param stream the stream
     * @param log the log
     * @param name name of the stream in the log
     * @param timing timing of the reads
     * @param clock clock and timers
     * @param backoff delays after failed reads
     * @param repeats tests whether an announcement only repeats an earlier one, which comes first;
     *     empty if no record of the stream does
     * @param listener receives the records
     */
    public SharedFollower(
            SharedStream stream,
            KeyedLog log,
            String name,
            Timing timing,
            Clock clock,
            Backoff backoff,
            Optional<BiPredicate<Bytes, Bytes>> repeats,
            KeyedFollower.Listener listener) {
        this.stream = stream;
        this.timing = timing;
        this.clock = clock;
        ring = new StreamRing(listener, repeats, clock);
        follower = new KeyedFollower(log, name, timing.own(), clock, backoff, ring);
    }

    /** Starts reading. */
    public void start() {
        follower.start();
    }

    /** Stops reading. */
    public void stop() {
        follower.stop();
    }

    /** Reads the stream anew. */
    public void restart() {
        follower.restart();
    }

    /**
     * Returns the stream.
     *
     * @return the stream
     */
    public SharedStream stream() {
        return stream;
    }

    /**
     * Returns the number of reads of the store since the start.
     *
     * @return the number, failed ones included
     */
    public long reads() {
        return follower.reads();
    }

    /**
     * Returns the number of reads that other nodes' reads replaced.
     *
     * @return the number, computed from the time for which they did
     */
    public double savedReads() {
        return savedReads;
    }

    /**
     * Returns the age of what this node knows of the stream.
     *
     * @return time since it or another node read the stream, zero before that
     */
    public Duration age() {
        return known() ? Duration.ofNanos(clock.nanos() - follower.readNanos()) : Duration.ZERO;
    }

    /**
     * Returns whether other nodes' reads replace those of this one.
     *
     * @return true while this node does not read the stream itself
     */
    public boolean replaced() {
        return follower.suspended();
    }

    StreamRing ring() {
        return ring;
    }

    Duration maxAge() {
        return timing.maxAge();
    }

    /** Returns whether the stream has been listed. */
    boolean known() {
        return follower.next() >= 0;
    }

    boolean failing() {
        return follower.failing();
    }

    long next() {
        return follower.next();
    }

    /** Reads for other nodes. */
    void readForOthers() {
        follower.pace(timing.hub());
        ring.open(follower.next());
        follower.resume();
    }

    /** Reads for this node only. */
    void readForItself() {
        ring.close();
        follower.pace(timing.own());
    }

    /** Reads by itself from now on, until another node tells again what it has read. */
    void resume() {
        follower.resume();
    }

    /** Reads once what another node cannot tell. */
    void readOnce() {
        follower.readOnce();
    }

    /** Receives what another node has read, unless that is too old. */
    void receive(KeyedLog.Page page, long from, long asOfNanos) {
        long now = clock.nanos();
        boolean recent = now - asOfNanos < timing.maxAge().toNanos();
        boolean settled = now - follower.listedNanos() >= SETTLE_TIME.toNanos();
        long before = follower.readNanos();
        if (known() && recent && settled && follower.receive(page, from, asOfNanos)) {
            Duration interval = timing.own().readWait().plus(timing.own().pause());
            savedReads += (double) (follower.readNanos() - before) / interval.toNanos();
        }
    }
}
