package hyssopturn.relay;

import hyssopturn.catalog.Catalog;
import hyssopturn.fleet.Roster;

import java.time.Duration;
import java.util.Optional;

/** What a node knows when it decides about a request; owned by one event loop. */
public final class Knowledge {
    /** Age beyond which an unconfirmed configuration no longer proves that a route is missing. */
    public static final Duration FRESH = Duration.ofSeconds(4);

    private final Roster roster = new Roster();
    private Optional<Catalog> catalog = Optional.empty();
    private long confirmedNanos;

    /** Creates the state of a node that knows nothing. */
    public Knowledge() {}

    /**
     * Takes a configuration; an older one than that in force is left out.
     *
     * @param offered the configuration
     * @return true if it is in force now and was not before
     */
    public boolean offer(Catalog offered) {
        if (catalog.isPresent() && catalog.get().version() >= offered.version()) {
            return false;
        }
        catalog = Optional.of(offered);
        return true;
    }

    /**
     * Notes that the configuration in force is the newest one at this moment.
     *
     * @param nowNanos time now
     */
    public void confirmed(long nowNanos) {
        confirmedNanos = nowNanos;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty while none is known
     */
    public Optional<Catalog> catalog() {
        return catalog;
    }

    /**
     * Returns how long ago the configuration was confirmed to be the newest.
     *
     * @param nowNanos time now
     * @return the age
     */
    public Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - confirmedNanos);
    }

    /**
     * Tells whether what is missing from the configuration is known to be missing.
     *
     * @param nowNanos time now
     * @return false if a newer configuration may have come that this node could not read
     */
    public boolean fresh(long nowNanos) {
        return age(nowNanos).compareTo(FRESH) < 0;
    }

    /**
     * Returns the endpoints.
     *
     * @return the roster
     */
    public Roster roster() {
        return roster;
    }

    /**
     * Tells whether requests can be served at all.
     *
     * @return true once a configuration and endpoints are known
     */
    public boolean complete() {
        return catalog.isPresent() && roster.size() > 0;
    }
}
