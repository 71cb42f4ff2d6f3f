package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.relay.RetryBudget.AnswerState;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/** The node that serves a {@link StreamDriver}. */
interface StreamWorld {
    Rule rule();

    long now();

    boolean allows(AnswerState state);

    void recordRetry(AnswerState state);

    /** Returns the streams that wait for a retry. */
    RetryQueue retryQueue();

    /** Handles the end of a stream. */
    void ended(StreamDriver stream);

    /** Runs a task once the present step is over. */
    void later(Runnable task);

    /** Chooses one of the engines that fulfil a condition. */
    Optional<Engine> choose(Predicate<Engine> condition);

    /** Returns whether a start of an engine is over and no longer listed. */
    boolean gone(Endpoint start);

    /** What happens to an attempt that is only silent. */
    enum Rule {
        /** Another one is opened beside it; the first that delivers goes on. */
        KEEP_HOLDER,
        /**
         * The rule before issue 46: it is cancelled in the step that opens the next one, and a
         * stream that began ends if no retry is allowed in the time that its caller is taken to
         * wait.
         */
        CANCEL_HOLDER
    }

    /** How a stream ended. */
    enum Outcome {
        /** The caller has all events. */
        COMPLETE,
        /** The caller left. */
        LEFT,
        /** The timeout of the request expired. */
        TIMEOUT,
        /** The request was sent and lost as often as is allowed. */
        ATTEMPTS_USED_UP,
        /** No retry was allowed, or no engine was found. */
        GIVEN_UP
    }

    /** An engine as the node sees it. */
    interface Engine {
        Endpoint endpoint();

        /** Returns whether it accepts connections. */
        boolean alive();

        /** Returns whether it is listed and not suspected. */
        boolean usable();

        boolean listed();

        /** Returns whether nothing is to be expected of it. */
        default boolean lost() {
            return !listed() || !alive();
        }

        boolean recentlyRefused();

        void suspect();

        void recordRefusal();

        /** Accepts a request, whose answer continues after an event if one is given. */
        void accept(StreamDriver stream, int attempt, OptionalLong resumeAfter);

        void cancel(StreamDriver stream, int attempt);
    }
}
