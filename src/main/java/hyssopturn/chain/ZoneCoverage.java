package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The layers that an availability zone's engines hold, and the requests that they have memory for.
 *
 * @param zone the zone
 * @param missingLayers number of layers that no engine of the zone holds
 * @param room requests of mean size that fit at the layer with the least memory, 0 if one is
 *     missing
 */
public record ZoneCoverage(String zone, int missingLayers, int room) {
    /**
     * Computes the coverage of each zone that has engines.
     *
     * @param spec sizes and speeds of the engines
     * @param engines live engines, with the layers that they hold
     * @return the coverage in the order of the zones' names
     */
    public static List<ZoneCoverage> of(EngineSpec spec, List<Endpoint> engines) {
        Map<String, List<Endpoint>> zones =
                engines.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Endpoint::zone, TreeMap::new, Collectors.toList()));
        List<ZoneCoverage> coverage = new ArrayList<>();
        zones.forEach((zone, members) -> coverage.add(of(spec, zone, members)));
        return coverage;
    }

    private static ZoneCoverage of(EngineSpec spec, String zone, List<Endpoint> engines) {
        double[] room = room(spec, engines);
        int missing = (int) Arrays.stream(room).filter(r -> r == 0).count();
        return new ZoneCoverage(zone, missing, (int) Arrays.stream(room).min().orElse(0));
    }

    /**
     * Returns the requests of mean size that engines have memory for at each layer.
     *
     * @param spec sizes and speeds of the engines
     * @param engines engines, of which those without layers count for nothing
     * @return number of requests by layer
     */
    static double[] room(EngineSpec spec, List<Endpoint> engines) {
        double[] room = new double[spec.layers()];
        for (Endpoint engine : engines) {
            if (engine.layers().filter(spec::hasLayers).isPresent()
                    && spec.kind(engine.kind()).isPresent()) {
                addRoom(spec, engine, room);
            }
        }
        return room;
    }

    private static void addRoom(EngineSpec spec, Endpoint engine, double[] room) {
        EngineKind kind = spec.kind(engine.kind()).orElseThrow();
        LayerRange held = engine.layers().orElseThrow();
        double requests =
                Math.max(0, spec.tokensThatFit(kind, held.size())) / spec.meanRequestTokens();
        for (int layer = held.from(); layer < held.to(); layer++) {
            room[layer] += requests;
        }
    }
}
