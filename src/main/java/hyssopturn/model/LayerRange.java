package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Half-open range of consecutive layers of a model.
 *
 * @param from first layer, from 0
 * @param to layer after the last one
 */
public record LayerRange(int from, int to) implements Comparable<LayerRange> {
    /** Checks that the range is not empty. */
    public LayerRange {
        Check.that(from >= 0 && to > from, "layer range must satisfy 0 <= from < to");
    }

    /**
     * Counts the layers.
     *
     * @return number of layers, at least 1
     */
    public int size() {
        return to - from;
    }

    /**
     * Returns whether another range lies within this one.
     *
     * @param other the other range
     * @return true if this range has every layer of the other one
     */
    public boolean contains(LayerRange other) {
        return from <= other.from && other.to <= to;
    }

    /**
     * Counts the layers that are in another range as well.
     *
     * @param other the other range
     * @return number of common layers, 0 if there is none
     */
    public int overlap(LayerRange other) {
        return Math.max(0, Math.min(to, other.to) - Math.max(from, other.from));
    }

    @Override
    public int compareTo(LayerRange other) {
        int byFrom = Integer.compare(from, other.from);
        return byFrom != 0 ? byFrom : Integer.compare(to, other.to);
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }
}
