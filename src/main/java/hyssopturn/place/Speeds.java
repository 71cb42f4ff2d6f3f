package hyssopturn.place;

import hyssopturn.member.View;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.util.HashMap;
import java.util.Map;

/** Learns the time of a layer for each kind of accelerator from the engines' reports. */
final class Speeds {
    private static final double NEW_SHARE = 0.1;
    private static final double UNKNOWN_MILLIS = 1;

    private final Map<String, Double> layerMillis = new HashMap<>();

    void learn(View view) {
        for (View.EngineView engine : view.allEngines()) {
            EngineReport report = engine.report();
            int layers = report.held().stream().mapToInt(h -> h.layers().size()).sum();
            if (layers > 0 && report.stepMillis() > 0) {
                double seen = report.stepMillis() / layers;
                layerMillis.merge(
                        kind(engine.instance()), seen, (old, now) -> old + NEW_SHARE * (now - old));
            }
        }
    }

    double layerMillis(Instance engine) {
        double fallback =
                layerMillis.values().stream().mapToDouble(v -> v).average().orElse(UNKNOWN_MILLIS);
        return layerMillis.getOrDefault(kind(engine), fallback);
    }

    private static String kind(Instance engine) {
        return engine.role() instanceof Instance.Role.Engine role ? role.accelerator() : "";
    }
}
