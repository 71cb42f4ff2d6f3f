package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * An availability zone.
 *
 * @param region region that contains the zone
 * @param name name of the zone within its region
 */
public record Zone(String region, String name) implements Comparable<Zone> {
    /** Checks both parts. */
    public Zone {
        Check.notBlank(region, "region");
        Check.notBlank(name, "zone");
    }

    /**
     * Reads the form {@code region/zone}.
     *
     * @param text the text
     * @return the zone
     * @throws hyssopturn.helper.InvalidArgumentException if a part is missing
     */
    public static Zone parse(String text) {
        Check.notBlank(text, "zone");
        int slash = text.indexOf('/');
        Check.that(slash > 0 && slash < text.length() - 1, "zone must be written region/zone");
        return new Zone(text.substring(0, slash), text.substring(slash + 1));
    }

    @Override
    public int compareTo(Zone other) {
        int byRegion = region.compareTo(other.region);
        return byRegion != 0 ? byRegion : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
