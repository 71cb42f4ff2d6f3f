package hyssopturn.place;

import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a model into stages of nearly equal size, and each stage further for small engines.
 *
 * @param layers number of layers
 * @param stages number of stages for engines that can hold a whole stage
 */
record StageGrid(int layers, int stages) {
    private static final int SPLIT_FACTOR = 2;

    /** Returns the largest ranges that fit an engine which can hold this many layers. */
    List<LayerRange> ranges(int maxLayers) {
        int parts = stages;
        while (parts < layers && (layers + parts - 1) / parts > maxLayers) {
            parts = Math.min(layers, parts * SPLIT_FACTOR);
        }
        List<LayerRange> ranges = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            ranges.add(new LayerRange(boundary(part, parts), boundary(part + 1, parts)));
        }
        return ranges;
    }

    private int boundary(int part, int parts) {
        return (int) ((long) part * layers / parts);
    }
}
