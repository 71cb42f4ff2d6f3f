package hyssopturn.route;

/**
 * Predicted cost of steps on one engine, as seen from this node.
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
     * Predicts the time of one step, from sending it to receiving the result.
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
     * Multiplies every term by a factor.
     *
     * @param factor factor on the predicted times
     * @return the scaled cost
     */
    public EngineCost scaled(double factor) {
        return new EngineCost(
                linkNanos * factor,
                linkTokenNanos * factor,
                queueNanos * factor,
                layerNanos * factor,
                layerTokenNanos * factor);
    }
}
