package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * A model in one version.
 *
 * @param name name of the model
 * @param version version of its weights
 */
public record ModelId(String name, String version) implements Comparable<ModelId> {
    /** Checks both parts. */
    public ModelId {
        Check.notBlank(name, "model name");
        Check.notBlank(version, "model version");
    }

    @Override
    public int compareTo(ModelId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : version.compareTo(other.version);
    }

    @Override
    public String toString() {
        return name + "@" + version;
    }
}
