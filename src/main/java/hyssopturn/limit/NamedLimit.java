package hyssopturn.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an endpoint was last heard to say about its limit.
 *
 * @param perSecond requests per second that it takes from all nodes together, empty if it names no
 *     limit any more
 * @param atNanos time as of which it holds
 */
public record NamedLimit(OptionalDouble perSecond, long atNanos) {
    /** Greatest time that a message between nodes takes. */
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(500);

    /**
     * Returns what is known after an answer. A limit holds from when it is heard. Answers overtake
     * each other, so a limit is raised or lifted only by the answer to a request that began after
     * the limit was last heard.
     *
     * @param known what was known, empty if nothing
     * @param perSecond limit in the answer, empty if it names none
     * @param begunNanos time at which the request was sent
     * @param heardNanos time at which the answer arrived
     * @return what is known now
     */
    static NamedLimit afterAnswer(
            Optional<NamedLimit> known,
            OptionalDouble perSecond,
            long begunNanos,
            long heardNanos) {
        boolean relaxes = known.filter(k -> k.rate() < rate(perSecond)).isPresent();
        NamedLimit heard = new NamedLimit(perSecond, relaxes ? begunNanos : heardNanos);
        return heard.orLater(known);
    }

    /** Returns the later of this and what was known. */
    NamedLimit orLater(Optional<NamedLimit> known) {
        return known.filter(k -> k.atNanos - atNanos >= 0).orElse(this);
    }

    /**
     * Returns what is known after another node told what it heard. The same limit counts as heard
     * again only if it is clearly later, since each message makes it seem a little younger.
     */
    static NamedLimit afterMessage(Optional<NamedLimit> known, HeardLimit heard, long nowNanos) {
        NamedLimit told = told(heard, nowNanos);
        return known.filter(k -> k.sameAs(told)).orElseGet(() -> told.orLater(known));
    }

    private boolean sameAs(NamedLimit other) {
        return perSecond.equals(other.perSecond)
                && other.atNanos - atNanos < MESSAGE_DELAY.toNanos();
    }

    /** Returns what another node has told. */
    private static NamedLimit told(HeardLimit heard, long nowNanos) {
        return new NamedLimit(heard.perSecond(), nowNanos - heard.age().toNanos());
    }

    /** Returns the form in which another node is told. */
    HeardLimit tell(long nowNanos) {
        return new HeardLimit(perSecond, Duration.ofNanos(Math.max(0, nowNanos - atNanos)));
    }

    boolean limited() {
        return perSecond.isPresent();
    }

    private double rate() {
        return rate(perSecond);
    }

    private static double rate(OptionalDouble perSecond) {
        return perSecond.orElse(Double.POSITIVE_INFINITY);
    }
}
