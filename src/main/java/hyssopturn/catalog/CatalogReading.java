package hyssopturn.catalog;

import java.util.List;

/**
 * A version as far as it could be read.
 *
 * @param catalog the version
 * @param unreadable a message for each entry that could not be read, with its name and the field
 */
public record CatalogReading(Catalog catalog, List<String> unreadable) {
    /** Copies the list of messages. */
    public CatalogReading {
        unreadable = List.copyOf(unreadable);
    }
}
