package hyssopturn.relay;

import java.util.OptionalLong;

/** Which events of a stream the caller has; pure. */
final class StreamProgress {
    private OptionalLong last;

    /** Starts after the last event that the caller says it has. */
    StreamProgress(OptionalLong after) {
        last = after;
    }

    /** What to do with an event. */
    enum Step {
        /** The caller gets it. */
        DELIVER,
        /** The caller has it already. */
        SKIP,
        /** Events before it are missing, so it must not be delivered. */
        GAP
    }

    /** Takes the next event of an endpoint. */
    Step next(OptionalLong id) {
        if (id.isEmpty()) {
            return Step.DELIVER;
        }
        long event = id.getAsLong();
        if (last.isPresent() && event <= last.getAsLong()) {
            return Step.SKIP;
        }
        if (last.isPresent() && event != last.getAsLong() + 1) {
            return Step.GAP;
        }
        last = id;
        return Step.DELIVER;
    }

    /** Returns the last event that the caller has. */
    OptionalLong last() {
        return last;
    }
}
