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
 * Keeps requests on the version that engines hold whole, until they hold the published one whole.
 */
public final class ServingVersions {
    private final Map<String, ModelSpec> last = new HashMap<>();
    private Config wanted = Config.EMPTY;
    private View seen = View.EMPTY;
    private Config serving = Config.EMPTY;

    /** Creates an instance that has served nothing. */
    public ServingVersions() {}

    /**
     * Chooses the versions for a request that starts now.
     *
     * @param config configuration in force
     * @param view engines and what they hold
     * @return the configuration with each model in the version to serve
     */
    @SuppressWarnings("ReferenceEquality") // a view is replaced as a whole; comparing it is costly
    public synchronized Config choose(Config config, View view) {
        if (config != wanted || view != seen) {
            Map<String, ModelSpec> models = new HashMap<>();
            config.models().forEach((name, spec) -> models.put(name, serving(spec, view)));
            boolean same = models.equals(config.models());
            serving =
                    same
                            ? config
                            : new Config(
                                    config.version(), models, config.classes(), config.revoked());
            wanted = config;
            seen = view;
        }
        return serving;
    }

    private ModelSpec serving(ModelSpec spec, View view) {
        String name = spec.id().name();
        ModelSpec chosen =
                covered(spec, view)
                        ? spec
                        : Optional.ofNullable(last.get(name))
                                .filter(s -> covered(s, view))
                                .or(() -> other(spec, view))
                                .orElse(spec);
        last.put(name, chosen);
        return chosen;
    }

    private static Optional<ModelSpec> other(ModelSpec spec, View view) {
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
                .forEach(h -> mark(held, h.layers()));
        for (boolean layer : held) {
            if (!layer) {
                return false;
            }
        }
        return true;
    }

    private static void mark(boolean[] held, LayerRange range) {
        for (int layer = range.from(); layer < Math.min(held.length, range.to()); layer++) {
            held[layer] = true;
        }
    }

    /**
     * Returns the version that serves a model now.
     *
     * @param name name of the model
     * @return the version, empty before the first request
     */
    public synchronized Optional<ModelId> version(String name) {
        return Optional.ofNullable(serving.models().get(name)).map(ModelSpec::id);
    }
}
