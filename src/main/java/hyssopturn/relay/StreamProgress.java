package hyssopturn.relay;

import java.util.OptionalLong;

/** Tracks, for one attempt of a stream, which events the caller has received. */
final class StreamProgress {
    private OptionalLong last;
    private boolean upToDate;

    /** Starts after the last event that the caller reports as received, if any. */
    StreamProgress(OptionalLong lastReceived) {
        last = lastReceived;
    }

    /** What to do with an event. */
    enum Action {
        /** Deliver the event to the caller. */
        DELIVER,
        /** Skip the event, since the caller already has it or does not need it. */
        SKIP,
        /** Do not deliver the event, since events before it are missing. */
        GAP,
        /** Do not deliver the event, since nothing shows its place in the stream. */
        UNNUMBERED
    }

    /**
     * Returns the progress of another attempt, whose events are to follow the caller's last one.
     */
    StreamProgress next() {
        return new StreamProgress(last);
    }

    /** Decides what to do with the next event of an endpoint, and records its delivery. */
    Action advance(EventFramer.Event event) {
        if (event.comment()) {
            return upToDate || last.isEmpty() ? Action.DELIVER : Action.SKIP;
        }
        if (event.id().isEmpty() || event.id().getAsLong() < 0) {
            return Action.UNNUMBERED;
        }
        return advance(event.id().getAsLong());
    }

    private Action advance(long event) {
        if (last.isPresent() && event <= last.getAsLong()) {
            upToDate = event == last.getAsLong();
            return Action.SKIP;
        }
        if (last.isPresent() && event != last.getAsLong() + 1) {
            return Action.GAP;
        }
        last = OptionalLong.of(event);
        upToDate = true;
        return Action.DELIVER;
    }

    /**
     * Returns whether the attempt has sent the last event that the caller has. The end of an
     * attempt that has not come so far shows nothing about the end of the stream.
     */
    boolean upToDate() {
        return upToDate;
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong last() {
        return last;
    }
}
