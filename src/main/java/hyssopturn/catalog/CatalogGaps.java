package hyssopturn.catalog;

import java.util.Set;

/**
 * The parts of a version that could not be read, so that its lack of an entry proves nothing.
 *
 * @param allRoutes true if the routes of an older version stand for those of this one
 * @param routes routes of which no readable form is known
 * @param accounts true if there may be accounts that are not known
 * @param keys keys of accounts that are known and cannot be used
 * @param services true if there may be services that are not known
 */
public record CatalogGaps(
        boolean allRoutes,
        Set<RouteKey> routes,
        boolean accounts,
        Set<String> keys,
        boolean services) {
    /** A version that was read completely. */
    public static final CatalogGaps NONE = new CatalogGaps(false, Set.of(), false, Set.of(), false);

    /** Copies the sets. */
    public CatalogGaps {
        routes = Set.copyOf(routes);
        keys = Set.copyOf(keys);
    }
}
