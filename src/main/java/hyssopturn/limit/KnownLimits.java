package hyssopturn.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/** What this node knows of limits, and until when it leaves their endpoints alone. */
final class KnownLimits {
    /** Time after which a limit of which nothing was heard counts as unused. */
    private static final Duration ACTIVE_TIME = Duration.ofSeconds(30);

    /** Time after which a limit is forgotten of which nothing was heard. */
    private static final Duration FORGET_AFTER = Duration.ofMinutes(10);

    private final Map<EndpointStart, Known> known = new HashMap<>();

    private static final class Known {
        private NamedLimit named;
        private long closedUntilNanos;

        Known(NamedLimit named, long nowNanos) {
            this.named = named;
            closedUntilNanos = nowNanos;
        }

        boolean inUse(long nowNanos) {
            return named.limited() && nowNanos - named.atNanos() < ACTIVE_TIME.toNanos();
        }
    }

    /** Returns what is known of an endpoint's limit, empty if nothing. */
    Optional<NamedLimit> named(EndpointStart start) {
        return Optional.ofNullable(known.get(start)).map(k -> k.named);
    }

    /** Replaces what is known of an endpoint's limit. */
    void put(EndpointStart start, NamedLimit named, long nowNanos) {
        Known entry = known.get(start);
        if (entry == null) {
            known.values().removeIf(k -> nowNanos - k.named.atNanos() > FORGET_AFTER.toNanos());
            known.put(start, new Known(named, nowNanos));
        } else {
            entry.named = named;
        }
    }

    /** Counts the endpoints in use that have a limit. */
    long count(long nowNanos) {
        return known.values().stream().filter(k -> k.inUse(nowNanos)).count();
    }

    /** Visits the limits in use. */
    void forEachInUse(long nowNanos, BiConsumer<EndpointStart, NamedLimit> visitor) {
        known.forEach(
                (start, entry) -> {
                    if (entry.inUse(nowNanos)) {
                        visitor.accept(start, entry.named);
                    }
                });
    }

    /** Leaves an endpoint alone until a time. */
    void close(EndpointStart start, long untilNanos) {
        Known entry = known.get(start);
        if (entry != null) {
            entry.closedUntilNanos = untilNanos;
        }
    }

    /** Returns the time until an endpoint may have room, empty if it may have room now. */
    Optional<Duration> closedFor(EndpointStart start, long nowNanos) {
        Known entry = known.get(start);
        if (entry == null || !entry.named.limited()) {
            return Optional.empty();
        }
        long left = entry.closedUntilNanos - nowNanos;
        return left > 0 ? Optional.of(Duration.ofNanos(left)) : Optional.empty();
    }
}
