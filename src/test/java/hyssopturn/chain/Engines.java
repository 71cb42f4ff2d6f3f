package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** Test engines that differ in memory and speed. */
final class Engines {
    static final int LAYERS = 80;
    static final String LARGE = "large";
    static final String MEDIUM = "medium";
    static final String SMALL = "small";
    static final String ROOMY = "roomy";
    static final String ROOMY_SLOW = "roomy-slow";

    static final EngineSpec SPEC =
            new EngineSpec(
                    LAYERS,
                    1_750,
                    657_671,
                    0.85,
                    0.0043,
                    0.0057,
                    252_000,
                    32_811,
                    7_900,
                    Duration.ofSeconds(14),
                    772,
                    154,
                    Map.of(
                            LARGE, new EngineKind(LARGE, 36_000, 3.1, 3.2),
                            MEDIUM, new EngineKind(MEDIUM, 21_600, 16, 8.2),
                            SMALL, new EngineKind(SMALL, 14_400, 15, 15),
                            ROOMY, new EngineKind(ROOMY, 1_000_000, 3.1, 3.2),
                            ROOMY_SLOW, new EngineKind(ROOMY_SLOW, 1_000_000, 15, 15)));

    private Engines() {}

    static Endpoint empty(String id, String zone, String kind) {
        int port = 1_024 + Math.floorMod(id.hashCode(), 60_000);
        return new Endpoint(
                new InstanceId(id),
                "writers",
                new Address("10.0.0.1", port),
                zone,
                134,
                false,
                kind,
                Optional.empty(),
                1,
                1);
    }

    static Endpoint holding(String id, String zone, String kind, int from, int to) {
        return empty(id, zone, kind).withLayers(new LayerRange(from, to));
    }
}
