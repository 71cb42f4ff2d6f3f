package hyssopturn.model;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A configuration that was accepted.
 *
 * @param version offset of its record in the log, 0 before the first one
 * @param models models by name
 * @param classes classes of work by name
 * @param revoked accounts that are turned away
 */
public record Config(
        long version,
        Map<String, ModelSpec> models,
        Map<ClassName, WorkClass> classes,
        Set<AccountId> revoked) {
    /** The configuration before any was published. */
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
