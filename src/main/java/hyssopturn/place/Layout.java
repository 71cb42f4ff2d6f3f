package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.Zone;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Holders of one model's layers while a plan is made, and the rate at which each layer runs. */
final class Layout {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int ENOUGH_ZONES = 2;

    private final Demand demand;
    private final double[] perSecond;
    private final List<Set<Zone>> zones = new ArrayList<>();
    private final List<Holder> holders = new ArrayList<>();

    /** An engine and its range. */
    record Holder(InstanceId id, Zone zone, LayerRange layers, double layerMillis) {}

    Layout(Demand demand) {
        this.demand = demand;
        perSecond = new double[demand.model().layers()];
        for (int layer = 0; layer < perSecond.length; layer++) {
            zones.add(new HashSet<>());
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
        for (int layer = layers.from(); layer < Math.min(layers.to(), perSecond.length); layer++) {
            perSecond[layer] += rate;
            zones.get(layer).add(worker.zone());
        }
    }

    /** Tells how much a holder in a zone helps a range: 2 if a layer has none, 1 if one zone. */
    int help(LayerRange layers, Zone zone) {
        int most = 0;
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            Set<Zone> have = zones.get(layer);
            if (have.isEmpty()) {
                return ENOUGH_ZONES;
            }
            if (have.size() < ENOUGH_ZONES && !have.contains(zone)) {
                most = 1;
            }
        }
        return most;
    }

    /** Returns the lowest rate in a range, in tokens a second for each unit of demand. */
    double lowest(LayerRange layers) {
        double low = Double.MAX_VALUE;
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            low = Math.min(low, perSecond[layer]);
        }
        return low / demand.weight();
    }

    /** Returns the rate of the whole model, in tokens a second and engine slot. */
    double tokensPerSecond() {
        return lowest(demand.model().whole()) * demand.weight();
    }

    int uncovered() {
        return (int) zones.stream().filter(Set::isEmpty).count();
    }

    int singleZone() {
        return (int) zones.stream().filter(z -> z.size() == 1).count();
    }
}
