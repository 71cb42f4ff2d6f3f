package hyssopturn.event;

/**
 * Reading of a hybrid logical clock.
 *
 * @param millis wall time as far as known, in milliseconds since 1970
 * @param counter order among readings of the same millisecond
 */
public record Stamp(long millis, int counter) implements Comparable<Stamp> {
    @Override
    public int compareTo(Stamp other) {
        int byMillis = Long.compare(millis, other.millis);
        return byMillis != 0 ? byMillis : Integer.compare(counter, other.counter);
    }
}
