package hyssopturn.run;

import hyssopturn.model.RequestId;

/**
 * Identity of one call of an engine.
 *
 * @param request the request
 * @param number its number within the run, from 1
 * @param attempt number of the attempt
 * @param stage index of the stage in the attempt's chain
 * @param position position of the first token
 * @param count number of tokens
 * @param fresh true if it went over a new connection
 * @param sentNanos when it was sent, on the node's monotonic clock
 * @param predicted predicted time to its answer, in nanoseconds
 */
record StepCall(
        RequestId request,
        long number,
        int attempt,
        int stage,
        int position,
        int count,
        boolean fresh,
        long sentNanos,
        double predicted) {
    /** Tells whether an answer to one of two calls answers the other as well. */
    boolean sameStep(StepCall other) {
        return request.equals(other.request)
                && attempt == other.attempt
                && stage == other.stage
                && position == other.position
                && count == other.count;
    }
}
