package hyssopturn.place;

import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a model into stages of nearly equal size, and each stage further for small engines.
 *
 * @param layers number of layers
 * @param stages number of stages for engines that have room for one
 */
record Grid(int layers, int stages) {
    private static final int HALVES = 2;

    /** Returns the ranges for an engine that has room for some layers; the largest that fit. */
    List<LayerRange> windows(int room) {
        int parts = stages;
        while (parts < layers && (layers + parts - 1) / parts > room) {
            parts = Math.min(layers, parts * HALVES);
        }
        List<LayerRange> windows = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            windows.add(new LayerRange(cut(part, parts), cut(part + 1, parts)));
        }
        return windows;
    }

    private int cut(int part, int parts) {
        return (int) ((long) part * layers / parts);
    }
}
