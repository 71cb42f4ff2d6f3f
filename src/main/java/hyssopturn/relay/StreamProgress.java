package hyssopturn.relay;

import java.util.OptionalLong;

/** Tracks which events of a stream the caller has received. */
final class StreamProgress {
    private OptionalLong last;

    /** Starts after the last event that the caller reports as received, if any. */
    StreamProgress(OptionalLong lastReceived) {
        last = lastReceived;
    }

    /** What to do with an event. */
    enum Action {
        /** Deliver the event to the caller. */
        DELIVER,
        /** Skip the event, since the caller already has it. */
        SKIP,
        /** Do not deliver the event, since events before it are missing. */
        GAP
    }

    /** Decides what to do with the next event of an endpoint, and records its delivery. */
    Action advance(OptionalLong id) {
        if (id.isEmpty()) {
            return Action.DELIVER;
        }
        long event = id.getAsLong();
        if (last.isPresent() && event <= last.getAsLong()) {
            return Action.SKIP;
        }
        if (last.isPresent() && event != last.getAsLong() + 1) {
            return Action.GAP;
        }
        last = id;
        return Action.DELIVER;
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong last() {
        return last;
    }
}
