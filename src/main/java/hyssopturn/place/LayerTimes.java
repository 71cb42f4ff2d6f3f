package hyssopturn.place;

import hyssopturn.member.View;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.util.HashMap;
import java.util.Map;

/** Estimates the time of a layer on each type of accelerator from the engines' reports. */
final class LayerTimes {
    private static final double SAMPLE_WEIGHT = 0.1;
    private static final double UNKNOWN_MILLIS = 1;

    private final Map<String, Double> layerMillis = new HashMap<>();

    void learn(View view) {
        for (View.EngineView engine : view.allEngines()) {
            EngineReport report = engine.report();
            int layers = report.held().stream().mapToInt(h -> h.layers().size()).sum();
            if (layers > 0 && report.stepMillis() > 0) {
                double sample = report.stepMillis() / layers;
                layerMillis.merge(
                        accelerator(engine.instance()),
                        sample,
                        (old, now) -> old + SAMPLE_WEIGHT * (now - old));
            }
        }
    }

    /** Returns the time of a layer, on an unknown accelerator the mean of the known ones. */
    double layerMillis(Instance engine) {
        double fallback =
                layerMillis.values().stream().mapToDouble(v -> v).average().orElse(UNKNOWN_MILLIS);
        return layerMillis.getOrDefault(accelerator(engine), fallback);
    }

    private static String accelerator(Instance engine) {
        return engine.role() instanceof Instance.Role.Engine role ? role.accelerator() : "";
    }
}
