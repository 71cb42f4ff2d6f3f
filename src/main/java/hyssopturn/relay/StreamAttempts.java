package hyssopturn.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Decides which attempts of a stream go on. Does no I/O.
 *
 * <p>One attempt holds the stream. While its engines are silent, another one may be tried beside
 * it; the first of the two that delivers the next event goes on alone. An attempt that fails while
 * the other one is open costs the caller nothing.
 */
final class StreamAttempts {
    private Optional<Open> holder = Optional.empty();
    private Optional<Open> beside = Optional.empty();
    private StreamProgress progress;
    private int newestId;
    private boolean closed;

    /**
     * Creates a stream without attempts.
     *
     * @param lastReceived id of the last event that the caller reports as received, if any
     */
    StreamAttempts(OptionalLong lastReceived) {
        progress = new StreamProgress(lastReceived);
    }

    private record Open(int id, StreamProgress progress) {}

    /**
     * A new attempt.
     *
     * @param id number of the attempt
     * @param cancelled the attempt that it replaces, which must be cancelled
     */
    record Begin(int id, OptionalInt cancelled) {}

    /** What to do with an event of an attempt. */
    sealed interface Reaction {
        /**
         * Deliver the event to the caller.
         *
         * @param cancelled the other attempt, which must be cancelled since this one goes on
         */
        record Deliver(OptionalInt cancelled) implements Reaction {}

        /** Skip the event, which the caller has or does not need. */
        record Skip() implements Reaction {}

        /**
         * Do not deliver the event; the attempt has failed.
         *
         * @param cause what is wrong with the event
         */
        record Fail(String cause) implements Reaction {}

        /** Ignore the event, since the attempt is not open any more. */
        record Ignore() implements Reaction {}
    }

    /** What the failure of an attempt leaves. */
    enum AfterFailure {
        /** The attempt was not open any more. */
        IGNORED,
        /** The other attempt goes on. */
        OTHER_OPEN,
        /** No attempt is open. */
        NONE_OPEN
    }

    /** What the end of an attempt's events means. */
    enum AfterEnd {
        /** The attempt was not open any more. */
        IGNORED,
        /** The caller has all events, and the stream is closed. */
        COMPLETE,
        /** Events are missing, so the attempt has failed. */
        TORN
    }

    /**
     * Opens an attempt: the only one, or one beside the attempt that holds the stream. The latter
     * stays open in any case; an earlier one beside it is replaced.
     */
    Begin begin() {
        if (closed) {
            throw new IllegalStateException("stream has ended");
        }
        Open opened = new Open(++newestId, progress.next());
        if (holder.isEmpty()) {
            holder = Optional.of(opened);
            return new Begin(opened.id(), OptionalInt.empty());
        }
        OptionalInt replaced = id(beside);
        beside = Optional.of(opened);
        return new Begin(opened.id(), replaced);
    }

    /** Decides what to do with an event of an attempt, and records its delivery. */
    Reaction event(int id, EventFramer.Event event) {
        Optional<Open> found = find(id);
        if (found.isEmpty()) {
            return new Reaction.Ignore();
        }
        if (event.comment() && beside.isPresent()) {
            return new Reaction.Skip();
        }
        return switch (found.get().progress().advance(event)) {
            case DELIVER -> new Reaction.Deliver(event.comment() ? OptionalInt.empty() : win(id));
            case SKIP -> new Reaction.Skip();
            case GAP -> new Reaction.Fail("event missing");
            case UNNUMBERED -> new Reaction.Fail("event without id");
        };
    }

    /** Lets an attempt hold the stream alone; returns the other one. */
    private OptionalInt win(int id) {
        Open winner = find(id).orElseThrow();
        OptionalInt other = other(id);
        holder = Optional.of(winner);
        beside = Optional.empty();
        progress = winner.progress();
        return other;
    }

    /** Closes an attempt that failed. */
    AfterFailure fail(int id) {
        if (find(id).isEmpty()) {
            return AfterFailure.IGNORED;
        }
        if (id(holder).equals(OptionalInt.of(id))) {
            holder = beside;
        }
        beside = Optional.empty();
        return holder.isPresent() ? AfterFailure.OTHER_OPEN : AfterFailure.NONE_OPEN;
    }

    /**
     * Decides what the end of an attempt's events means.
     *
     * @param id number of the attempt
     * @param incomplete whether it ended within an event
     */
    AfterEnd end(int id, boolean incomplete) {
        Optional<Open> found = find(id);
        if (found.isEmpty()) {
            return AfterEnd.IGNORED;
        }
        if (incomplete || !found.get().progress().upToDate()) {
            return AfterEnd.TORN;
        }
        close();
        return AfterEnd.COMPLETE;
    }

    /** Closes all attempts for good. */
    void close() {
        closed = true;
        holder = Optional.empty();
        beside = Optional.empty();
    }

    /** Returns whether an attempt is open. */
    boolean open(int id) {
        return find(id).isPresent();
    }

    /** Returns the attempt that was opened last and is still open. */
    OptionalInt newest() {
        return id(beside.or(() -> holder));
    }

    /** Returns whether an attempt is open beside the one that holds the stream. */
    boolean twoOpen() {
        return beside.isPresent();
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong lastDelivered() {
        return holder.map(Open::progress).orElse(progress).last();
    }

    private OptionalInt other(int id) {
        return id(holder).equals(OptionalInt.of(id)) ? id(beside) : id(holder);
    }

    private Optional<Open> find(int id) {
        return holder.filter(o -> o.id() == id).or(() -> beside.filter(o -> o.id() == id));
    }

    private static OptionalInt id(Optional<Open> attempt) {
        return attempt.map(o -> OptionalInt.of(o.id())).orElse(OptionalInt.empty());
    }
}
