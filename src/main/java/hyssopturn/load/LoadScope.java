package hyssopturn.load;

import hyssopturn.helper.Check;

/**
 * The engines of a service in an availability zone, together with the clients of that zone.
 *
 * @param service name of the service
 * @param zone availability zone
 */
public record LoadScope(String service, String zone) {
    /** Greatest length of both names together; longer ones do not fit into a datagram. */
    static final int MAX_LENGTH = 256;

    /** Checks both names. */
    public LoadScope {
        Check.notBlank(service, "service");
        Check.notBlank(zone, "zone");
        Check.that(service.length() + zone.length() <= MAX_LENGTH, "names too long");
    }

    /** Returns the partition whose holder sums up the load of this scope. */
    int partition(int partitions) {
        return Math.floorMod(EngineTokens.mix((service + '/' + zone).hashCode()), partitions);
    }
}
