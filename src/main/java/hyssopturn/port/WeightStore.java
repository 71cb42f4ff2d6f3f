package hyssopturn.port;

import hyssopturn.model.ModelId;

import java.util.concurrent.CompletableFuture;

/** The platform's store of model weights, which limits the bandwidth of loads. */
public interface WeightStore {
    /**
     * Describes the weights of a model.
     *
     * @param model the model
     * @return the description; fails with a {@link PortException}
     */
    CompletableFuture<Weights> describe(ModelId model);

    /**
     * Description of a model's weights.
     *
     * @param layers number of layers
     * @param bytesPerLayer size of a layer, in bytes
     * @param bytesPerSecond bandwidth limit for all loads together, in bytes a second
     */
    record Weights(int layers, long bytesPerLayer, long bytesPerSecond) {}
}
