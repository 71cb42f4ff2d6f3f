package hyssopturn.port;

import hyssopturn.model.ModelId;

import java.util.concurrent.CompletableFuture;

/** The platform's store of weights, which limits the rate of loads. */
public interface WeightStore {
    /**
     * Describes the weights of a model.
     *
     * @param model the model
     * @return the description; fails with a {@link PortException}
     */
    CompletableFuture<Weights> describe(ModelId model);

    /**
     * What the store says of a model.
     *
     * @param layers number of layers
     * @param bytesPerLayer size of a layer, in bytes
     * @param bytesPerSecond rate that all loads together may take, in bytes a second
     */
    record Weights(int layers, long bytesPerLayer, long bytesPerSecond) {}
}
