package hyssopturn.place;

import hyssopturn.member.View;
import hyssopturn.model.Config;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the version of each model that serves requests: the published one once engines hold all
 * its layers, until then a version of which they hold all layers.
 */
public final class ServingVersions {
    private final Map<String, ModelSpec> lastServed = new HashMap<>();
    private Config lastConfig = Config.EMPTY;
    private View lastView = View.EMPTY;
    private Config serving = Config.EMPTY;

    /** Creates an instance that has not chosen any version yet. */
    public ServingVersions() {}

    /**
     * Chooses the versions for a request that starts now.
     *
     * @param config configuration in force
     * @param view engines and their holdings
     * @return the configuration with each model in the version to serve
     */
    @SuppressWarnings("ReferenceEquality") // views are replaced, not changed; equals is costly
    public synchronized Config choose(Config config, View view) {
        if (config != lastConfig || view != lastView) {
            Map<String, ModelSpec> models = new HashMap<>();
            config.models().forEach((name, spec) -> models.put(name, serving(spec, view)));
            boolean unchanged = models.equals(config.models());
            serving =
                    unchanged
                            ? config
                            : new Config(
                                    config.version(), models, config.classes(), config.revoked());
            lastConfig = config;
            lastView = view;
        }
        return serving;
    }

    private ModelSpec serving(ModelSpec spec, View view) {
        String name = spec.id().name();
        ModelSpec chosen =
                covered(spec, view)
                        ? spec
                        : Optional.ofNullable(lastServed.get(name))
                                .filter(s -> covered(s, view))
                                .or(() -> otherVersion(spec, view))
                                .orElse(spec);
        lastServed.put(name, chosen);
        return chosen;
    }

    private static Optional<ModelSpec> otherVersion(ModelSpec spec, View view) {
        return view.engines().stream()
                .flatMap(e -> e.report().held().stream())
                .map(h -> h.model())
                .filter(m -> m.name().equals(spec.id().name()))
                .distinct()
                .sorted()
                .map(m -> new ModelSpec(m, spec.layers(), spec.bytesPerLayer(), spec.adapters()))
                .filter(s -> covered(s, view))
                .findFirst();
    }

    private static boolean covered(ModelSpec spec, View view) {
        boolean[] held = new boolean[spec.layers()];
        view.engines().stream()
                .flatMap(e -> e.report().held().stream())
                .filter(h -> h.model().equals(spec.id()))
                .forEach(h -> markHeld(held, h.layers()));
        for (boolean layer : held) {
            if (!layer) {
                return false;
            }
        }
        return true;
    }

    private static void markHeld(boolean[] held, LayerRange range) {
        for (int layer = range.from(); layer < Math.min(held.length, range.to()); layer++) {
            held[layer] = true;
        }
    }

    /**
     * Returns the version that currently serves a model.
     *
     * @param name name of the model
     * @return the version, empty before the first request
     */
    public synchronized Optional<ModelId> version(String name) {
        return Optional.ofNullable(serving.models().get(name)).map(ModelSpec::id);
    }
}
