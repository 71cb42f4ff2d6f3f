package hyssopturn.model;

import hyssopturn.helper.Check;

import java.util.List;

/**
 * A published model.
 *
 * @param id name and version in force
 * @param layers number of layers
 * @param bytesPerLayer size of the weights of a layer, in bytes
 * @param adapters names of the adapters that every engine with layers of the model loads
 */
public record ModelSpec(ModelId id, int layers, long bytesPerLayer, List<String> adapters) {
    /** Checks the sizes and copies the list. */
    public ModelSpec {
        Check.that(layers > 0, "layers must be positive");
        Check.that(bytesPerLayer >= 0, "bytes per layer must not be negative");
        adapters = List.copyOf(adapters);
    }

    /**
     * Describes a model without adapters.
     *
     * @param id name and version in force
     * @param layers number of layers
     * @param bytesPerLayer size of the weights of a layer, in bytes
     */
    public ModelSpec(ModelId id, int layers, long bytesPerLayer) {
        this(id, layers, bytesPerLayer, List.of());
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
