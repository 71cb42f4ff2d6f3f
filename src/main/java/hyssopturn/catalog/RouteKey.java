package hyssopturn.catalog;

/**
 * The requests that a route applies to.
 *
 * @param host host of the requests, in lower case
 * @param prefix beginning of the path
 */
public record RouteKey(String host, String prefix) {}
