package hyssopturn.place;

import hyssopturn.model.LayerRange;
import hyssopturn.model.Zone;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Least time of one token through all layers, links included: a shortest path. */
final class TokenTime {
    private TokenTime() {}

    private record Kind(Zone zone, LayerRange layers) {}

    /** Returns the time in milliseconds, infinite if some layer has no holder. */
    static double millis(Layout layout, Links links) {
        Map<Kind, Double> kinds = new HashMap<>();
        for (Layout.Holder holder : layout.holders()) {
            kinds.merge(new Kind(holder.zone(), holder.layers()), holder.layerMillis(), Math::min);
        }
        List<Zone> zones = kinds.keySet().stream().map(Kind::zone).distinct().sorted().toList();
        double[][] cost = costs(zones, links);
        int layers = layout.demand().model().layers();
        double[][] best = new double[layers + 1][zones.size()];
        Arrays.stream(best).forEach(row -> Arrays.fill(row, Double.POSITIVE_INFINITY));
        Arrays.fill(best[0], 0);
        for (int layer = 0; layer < layers; layer++) {
            relax(best, layer, kinds, zones, cost);
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
            Map<Kind, Double> kinds,
            List<Zone> zones,
            double[][] cost) {
        double[] arrive = new double[zones.size()];
        for (int to = 0; to < zones.size(); to++) {
            arrive[to] = Double.POSITIVE_INFINITY;
            for (int from = 0; from < zones.size(); from++) {
                double link = layer == 0 ? 0 : cost[from][to];
                arrive[to] = Math.min(arrive[to], best[layer][from] + link);
            }
        }
        for (Map.Entry<Kind, Double> entry : kinds.entrySet()) {
            LayerRange range = entry.getKey().layers();
            if (range.from() > layer || range.to() <= layer || range.to() >= best.length) {
                continue;
            }
            int zone = zones.indexOf(entry.getKey().zone());
            double time = arrive[zone] + (range.to() - layer) * entry.getValue();
            best[range.to()][zone] = Math.min(best[range.to()][zone], time);
        }
    }

    /** Returns the least time over layouts, as a share of each one's target; above 1 is late. */
    static double lateness(Collection<Layout> layouts, Links links) {
        double worst = 0;
        for (Layout layout : layouts) {
            double target = layout.demand().between().toNanos() / 1e6;
            worst = Math.max(worst, millis(layout, links) / target);
        }
        return worst;
    }
}
