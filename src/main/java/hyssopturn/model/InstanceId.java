package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Names one instance: a node of this system or an endpoint.
 *
 * @param value the name, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Checks the name. */
    public InstanceId {
        Check.notBlank(value, "instance");
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
