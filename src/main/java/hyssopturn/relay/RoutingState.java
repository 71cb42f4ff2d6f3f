package hyssopturn.relay;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.catalog.Catalog;
import hyssopturn.fleet.Roster;

import java.time.Duration;
import java.util.Optional;

/** Configuration and endpoints by which a node routes requests; confined to one event loop. */
public final class RoutingState {
    /**
     * Time since the last confirmation beyond which the configuration no longer proves that a route
     * or account does not exist.
     */
    public static final Duration MAX_FRESH_AGE = Duration.ofSeconds(4);

    private final Roster roster = new Roster();
    private Optional<Catalog> catalog = Optional.empty();
    private long confirmedNanos;
    private boolean newerUnreadable;
    private boolean awaitingNewer;

    /** Creates a state without configuration and endpoints. */
    public RoutingState() {}

    /**
     * Puts a configuration into force if it is newer than the one in force.
     *
     * @param candidate the configuration
     * @return true if the configuration was put into force, false if its version is not newer
     */
    public boolean update(Catalog candidate) {
        if (catalog.isPresent() && catalog.get().version() >= candidate.version()) {
            return false;
        }
        catalog = Optional.of(candidate);
        newerUnreadable = false;
        return true;
    }

    /** Records that there is a newer configuration of which nothing could be read. */
    public void markNewerUnreadable() {
        newerUnreadable = true;
    }

    /**
     * Sets whether other nodes may know a newer configuration than the log, which has returned from
     * an older copy. Until they have told, this node is not complete.
     *
     * @param awaiting true if they may
     */
    public void awaitNewer(boolean awaiting) {
        awaitingNewer = awaiting;
    }

    /**
     * Returns whether other nodes may know a newer configuration.
     *
     * @return true until they have told, or have had time to
     */
    public boolean awaitsNewer() {
        return awaitingNewer;
    }

    /**
     * Records that the configuration in force is the newest one at this time.
     *
     * @param nowNanos current time
     */
    public void markConfirmed(long nowNanos) {
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
     * Returns the limits on callers that are in force.
     *
     * @return the limits of the configuration, or those of a node that knows none
     */
    public CallerLimits callerLimits() {
        return catalog.map(Catalog::limits).orElse(CallerLimits.UNCONFIGURED);
    }

    /**
     * Returns the time since the configuration was last confirmed to be the newest.
     *
     * @param nowNanos current time
     * @return the age
     */
    public Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - confirmedNanos);
    }

    /**
     * Returns whether the configuration is recent enough to prove that a route or account does not
     * exist.
     *
     * @param nowNanos current time
     * @return false if there may be a newer configuration that this node has not read
     */
    public boolean fresh(long nowNanos) {
        return !newerUnreadable && !awaitingNewer && age(nowNanos).compareTo(MAX_FRESH_AGE) < 0;
    }

    /**
     * Returns the known endpoints.
     *
     * @return the endpoints
     */
    public Roster roster() {
        return roster;
    }

    /**
     * Returns whether the node has what it needs to serve requests.
     *
     * @return true once a configuration and endpoints are known, and no newer one is awaited
     */
    public boolean complete() {
        return catalog.isPresent() && !awaitingNewer && roster.size() > 0;
    }
}
