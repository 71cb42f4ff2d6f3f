package hyssopturn.run;

import hyssopturn.model.RequestId;

/**
 * One call of an engine.
 *
 * @param request id of the request
 * @param number number of the call within the run, from 1
 * @param attempt number of the attempt
 * @param stage index of the stage in the attempt's chain
 * @param position position of the first token
 * @param count number of tokens
 * @param newConnection true if the call uses a new connection
 * @param sentNanos when the call was sent, in nanoseconds on the node's monotonic clock
 * @param predictedNanos predicted time from send to answer, in nanoseconds
 */
record StepCall(
        RequestId request,
        long number,
        int attempt,
        int stage,
        int position,
        int count,
        boolean newConnection,
        long sentNanos,
        double predictedNanos) {
    /**
     * Returns whether both calls send the same step, so that an answer to one is valid for both.
     */
    boolean sameStep(StepCall other) {
        return request.equals(other.request)
                && attempt == other.attempt
                && stage == other.stage
                && position == other.position
                && count == other.count;
    }
}
