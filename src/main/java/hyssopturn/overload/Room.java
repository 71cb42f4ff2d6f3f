package hyssopturn.overload;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.load.LoadView;
import hyssopturn.model.LayerRange;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Memory for tokens at the layer that has the least of it left.
 *
 * @param capacity tokens that fit at that layer
 * @param used tokens that requests of all nodes hold there
 * @param nodes number of nodes that use the engines, this one included
 * @param shared true if the use is known from all nodes; otherwise it is estimated from this node's
 *     own requests, and a request of this node counts once for each node
 * @param ageNanos age of what is known, 0 for an estimate
 */
public record Room(double capacity, double used, double nodes, boolean shared, long ageNanos) {
    /**
     * Finds the layer with the least memory left.
     *
     * @param spec sizes of the engines
     * @param engines engines that may be used
     * @param loads load of all nodes
     * @param ownTokens tokens of this node's own streams
     * @param nodes number of nodes that use the engines
     * @param ageNanos age of the load of all nodes
     * @return the room at that layer; its capacity is 0 if a layer is held by no engine
     */
    public static Room thinnest(
            EngineSpec spec,
            List<Endpoint> engines,
            LoadView loads,
            double ownTokens,
            double nodes,
            long ageNanos) {
        double[] capacity = new double[spec.layers()];
        double[] used = new double[spec.layers()];
        boolean known = !engines.isEmpty();
        for (Endpoint engine : engines) {
            Optional<EngineKind> kind = spec.kind(engine.kind());
            if (kind.isEmpty() || engine.layers().filter(spec::hasLayers).isEmpty()) {
                continue;
            }
            LayerRange held = engine.layers().get();
            OptionalDouble atEngine = loads.usedTokens(engine.id());
            known &= atEngine.isPresent();
            double fits = Math.max(0, spec.tokensThatFit(kind.get(), held.size()));
            for (int layer = held.from(); layer < held.to(); layer++) {
                capacity[layer] += fits;
                used[layer] += atEngine.orElse(0) / held.size();
            }
        }
        int thinnest = thinnest(capacity, used);
        return known
                ? new Room(capacity[thinnest], used[thinnest], nodes, true, ageNanos)
                : new Room(capacity[thinnest], ownTokens * nodes, nodes, false, 0);
    }

    private static int thinnest(double[] capacity, double[] used) {
        int thinnest = 0;
        for (int layer = 1; layer < capacity.length; layer++) {
            if (capacity[layer] - used[layer] < capacity[thinnest] - used[thinnest]) {
                thinnest = layer;
            }
        }
        return thinnest;
    }

    /** Returns the tokens by which the known use grows when this node starts a stream. */
    double cost(double tokens) {
        return shared ? tokens : tokens * nodes;
    }

    /** Returns the part of the capacity in use, 0 if there is no capacity. */
    double usedPart() {
        return capacity > 0 ? used / capacity : 0;
    }
}
