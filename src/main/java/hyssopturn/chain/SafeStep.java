package hyssopturn.chain;

import hyssopturn.model.LayerRange;

import java.util.Optional;

/**
 * Steps of engines from the layers that they hold towards others, in which every layer that an
 * engine gives up is ready at another one. Not thread-safe.
 */
final class SafeStep {
    private final int[] ready;

    /**
     * Creates the steps of a plan.
     *
     * @param copies number of engines at which each layer is ready
     */
    SafeStep(int[] copies) {
        ready = copies.clone();
    }

    /**
     * Returns the layers that an engine may be ordered to hold now.
     *
     * @param wanted layers that it should hold in the end
     * @param held layers that it holds, null if it holds none
     * @param capacity most layers that it has memory for
     * @return the layers, empty if nothing may change now
     */
    Optional<LayerRange> towards(LayerRange wanted, LayerRange held, int capacity) {
        if (held == null) {
            return Optional.of(wanted);
        }
        if (held.overlap(wanted) == 0) {
            return giveUpAll(held) ? Optional.of(wanted) : Optional.empty();
        }
        LayerRange grown = grow(held, wanted, capacity);
        LayerRange next = grown.equals(held) ? trim(held, wanted) : grown;
        return next.equals(held) ? Optional.empty() : Optional.of(next);
    }

    /** Adds wanted layers, as many as there is memory for; nothing that passes holds that up. */
    private static LayerRange grow(LayerRange held, LayerRange wanted, int capacity) {
        int from = Math.min(held.from(), Math.max(wanted.from(), held.to() - capacity));
        int to = Math.max(held.to(), Math.min(wanted.to(), from + capacity));
        return new LayerRange(from, to);
    }

    private LayerRange trim(LayerRange held, LayerRange wanted) {
        int from = held.from();
        while (from < wanted.from() && giveUp(from)) {
            from++;
        }
        int to = held.to();
        while (to > wanted.to() && giveUp(to - 1)) {
            to--;
        }
        return new LayerRange(from, to);
    }

    private boolean giveUp(int layer) {
        if (ready[layer] < 2) {
            return false;
        }
        ready[layer]--;
        return true;
    }

    private boolean giveUpAll(LayerRange held) {
        for (int layer = held.from(); layer < held.to(); layer++) {
            if (ready[layer] < 2) {
                return false;
            }
        }
        for (int layer = held.from(); layer < held.to(); layer++) {
            ready[layer]--;
        }
        return true;
    }
}
