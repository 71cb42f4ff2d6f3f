package hyssopturn.chain;

/**
 * The link between two availability zones, the same in both directions.
 *
 * @param first the zone whose name comes first in alphabetical order
 * @param second the other zone
 */
public record ZoneLink(String first, String second) {
    /**
     * Returns the link between two zones.
     *
     * @param one a zone
     * @param other another zone
     * @return the link, the same one if the zones are swapped
     */
    public static ZoneLink between(String one, String other) {
        return one.compareTo(other) < 0 ? new ZoneLink(one, other) : new ZoneLink(other, one);
    }
}
