package hyssopturn.model;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An accepted configuration.
 *
 * @param version offset of its record in the log, 0 before the first one
 * @param models models by name
 * @param classes classes of work by name
 * @param revoked accounts whose requests are refused
 */
public record Config(
        long version,
        Map<String, ModelSpec> models,
        Map<ClassName, WorkClass> classes,
        Set<AccountId> revoked) {
    /** Configuration in force until the first one is published. */
    public static final Config EMPTY = new Config(0, Map.of(), Map.of(), Set.of());

    /** Copies the collections. */
    public Config {
        models = Map.copyOf(models);
        classes = Map.copyOf(classes);
        revoked = Set.copyOf(revoked);
    }

    /**
     * Finds a class of work.
     *
     * @param name its name
     * @return the class, if it is published
     */
    public Optional<WorkClass> workClass(ClassName name) {
        return Optional.ofNullable(classes.get(name));
    }

    /**
     * Finds a model.
     *
     * @param name its name
     * @return the model, if it is published
     */
    public Optional<ModelSpec> model(String name) {
        return Optional.ofNullable(models.get(name));
    }
}
