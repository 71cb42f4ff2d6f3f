package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Names one request of one caller, unique over all nodes.
 *
 * @param value the name, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Checks the name. */
    public RequestId {
        Check.notBlank(value, "request id");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
