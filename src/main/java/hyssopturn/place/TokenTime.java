package hyssopturn.place;

import hyssopturn.model.LayerRange;
import hyssopturn.model.Zone;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Shortest-path computation of the time of one token through all layers, including links. */
final class TokenTime {
    private TokenTime() {}

    private record ZoneRange(Zone zone, LayerRange layers) {}

    /** Returns the shortest time in milliseconds, infinite if some layer has no holder. */
    static double millis(Layout layout, Links links) {
        Map<ZoneRange, Double> layerMillis = new HashMap<>();
        for (Layout.Holder holder : layout.holders()) {
            layerMillis.merge(
                    new ZoneRange(holder.zone(), holder.layers()), holder.layerMillis(), Math::min);
        }
        List<Zone> zones =
                layerMillis.keySet().stream().map(ZoneRange::zone).distinct().sorted().toList();
        double[][] cost = costs(zones, links);
        int layers = layout.demand().model().layers();
        double[][] best = new double[layers + 1][zones.size()];
        Arrays.stream(best).forEach(row -> Arrays.fill(row, Double.POSITIVE_INFINITY));
        Arrays.fill(best[0], 0);
        for (int layer = 0; layer < layers; layer++) {
            relax(best, layer, layerMillis, zones, cost);
        }
        return Arrays.stream(best[layers]).min().orElse(Double.POSITIVE_INFINITY);
    }

    private static double[][] costs(List<Zone> zones, Links links) {
        double[][] cost = new double[zones.size()][zones.size()];
        for (int from = 0; from < zones.size(); from++) {
            for (int to = 0; to < zones.size(); to++) {
                cost[from][to] = links.millis(zones.get(from), zones.get(to));
            }
        }
        return cost;
    }

    private static void relax(
            double[][] best,
            int layer,
            Map<ZoneRange, Double> layerMillis,
            List<Zone> zones,
            double[][] cost) {
        double[] arrival = new double[zones.size()];
        for (int to = 0; to < zones.size(); to++) {
            arrival[to] = Double.POSITIVE_INFINITY;
            for (int from = 0; from < zones.size(); from++) {
                double link = layer == 0 ? 0 : cost[from][to];
                arrival[to] = Math.min(arrival[to], best[layer][from] + link);
            }
        }
        for (Map.Entry<ZoneRange, Double> entry : layerMillis.entrySet()) {
            LayerRange range = entry.getKey().layers();
            if (range.from() > layer || range.to() <= layer || range.to() >= best.length) {
                continue;
            }
            int zone = zones.indexOf(entry.getKey().zone());
            double time = arrival[zone] + (range.to() - layer) * entry.getValue();
            best[range.to()][zone] = Math.min(best[range.to()][zone], time);
        }
    }

    /**
     * Returns the highest ratio of the time of a token to its target over the layouts; tokens are
     * late if the ratio is above 1.
     */
    static double lateness(Collection<Layout> layouts, Links links) {
        double worst = 0;
        for (Layout layout : layouts) {
            double target = layout.demand().tokenIntervalTarget().toNanos() / 1e6;
            worst = Math.max(worst, millis(layout, links) / target);
        }
        return worst;
    }
}
