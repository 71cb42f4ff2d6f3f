package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.Zone;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Planned holders of one model's layers and the rate of each layer. */
final class Layout {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MIN_ZONES = 2;

    private final Demand demand;
    private final double[] layerRates;
    private final List<Set<Zone>> layerZones = new ArrayList<>();
    private final List<Holder> holders = new ArrayList<>();

    /** An engine and the range of layers planned for it. */
    record Holder(InstanceId id, Zone zone, LayerRange layers, double layerMillis) {}

    Layout(Demand demand) {
        this.demand = demand;
        layerRates = new double[demand.model().layers()];
        for (int layer = 0; layer < layerRates.length; layer++) {
            layerZones.add(new HashSet<>());
        }
    }

    Demand demand() {
        return demand;
    }

    List<Holder> holders() {
        return holders;
    }

    void add(Worker worker, LayerRange layers) {
        holders.add(new Holder(worker.id(), worker.zone(), layers, worker.layerMillis()));
        double rate = MILLIS_PER_SECOND / (worker.layerMillis() * layers.size());
        for (int layer = layers.from(); layer < Math.min(layers.to(), layerRates.length); layer++) {
            layerRates[layer] += rate;
            layerZones.get(layer).add(worker.zone());
        }
    }

    /**
     * Returns the gain in redundancy from another holder of a range in a zone.
     *
     * @return 2 if some layer has no holder, 1 if some layer has holders in one other zone only,
     *     otherwise 0
     */
    int redundancyGain(LayerRange layers, Zone zone) {
        int gain = 0;
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            Set<Zone> present = layerZones.get(layer);
            if (present.isEmpty()) {
                return MIN_ZONES;
            }
            if (present.size() < MIN_ZONES && !present.contains(zone)) {
                gain = 1;
            }
        }
        return gain;
    }

    /** Returns the lowest rate of a layer in a range, in tokens per second and unit of demand. */
    double minRate(LayerRange layers) {
        double lowest = Double.MAX_VALUE;
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            lowest = Math.min(lowest, layerRates[layer]);
        }
        return lowest / demand.weight();
    }

    /** Returns the rate of the whole model, in tokens per second and engine slot. */
    double tokensPerSecond() {
        return minRate(demand.model().whole()) * demand.weight();
    }

    /** Returns the number of layers without a holder. */
    int uncovered() {
        return (int) layerZones.stream().filter(Set::isEmpty).count();
    }

    /** Returns the number of layers whose holders are all in one zone. */
    int singleZone() {
        return (int) layerZones.stream().filter(z -> z.size() == 1).count();
    }
}
