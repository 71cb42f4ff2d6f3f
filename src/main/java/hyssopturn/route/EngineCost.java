package hyssopturn.route;

/**
 * Predicted cost of steps at one engine, as seen from this node.
 *
 * @param linkNanos time of a round trip without payload, in nanoseconds
 * @param linkTokenNanos time that the link adds for each token of the payload, in nanoseconds
 * @param queueNanos time that a step waits before it runs, in nanoseconds
 * @param layerNanos time of one token through one layer, in nanoseconds
 * @param layerTokenNanos time that each further token adds for each layer, in nanoseconds
 */
public record EngineCost(
        double linkNanos,
        double linkTokenNanos,
        double queueNanos,
        double layerNanos,
        double layerTokenNanos) {
    /**
     * Predicts the time of one step from send to answer.
     *
     * @param layers number of layers that run
     * @param tokens number of tokens that run
     * @return time in nanoseconds
     */
    public double nanos(int layers, int tokens) {
        double link = linkNanos + tokens * linkTokenNanos;
        double run = layers * (layerNanos + (tokens - 1) * layerTokenNanos);
        return link + queueNanos + run;
    }

    /**
     * Multiplies every term.
     *
     * @param factor factor on the predicted times
     * @return the dearer or cheaper cost
     */
    public EngineCost times(double factor) {
        return new EngineCost(
                linkNanos * factor,
                linkTokenNanos * factor,
                queueNanos * factor,
                layerNanos * factor,
                layerTokenNanos * factor);
    }
}
