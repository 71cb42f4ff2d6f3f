package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Names a published class of work.
 *
 * @param value the name, never blank
 */
public record ClassName(String value) implements Comparable<ClassName> {
    /** Checks the name. */
    public ClassName {
        Check.notBlank(value, "class name");
    }

    @Override
    public int compareTo(ClassName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
