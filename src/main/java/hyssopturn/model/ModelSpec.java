package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * A published model.
 *
 * @param id name and version in force
 * @param layers number of layers
 * @param bytesPerLayer size of the weights of a layer, in bytes
 */
public record ModelSpec(ModelId id, int layers, long bytesPerLayer) {
    /** Checks the sizes. */
    public ModelSpec {
        Check.that(layers > 0, "layers must be positive");
        Check.that(bytesPerLayer >= 0, "bytes per layer must not be negative");
    }

    /**
     * Returns the range of all layers.
     *
     * @return the whole model
     */
    public LayerRange whole() {
        return new LayerRange(0, layers);
    }
}
