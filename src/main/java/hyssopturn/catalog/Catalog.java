package hyssopturn.catalog;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** One version of the operator's configuration; immutable. */
public final class Catalog {
    private final long version;
    private final Map<String, List<Route>> routes;
    private final Map<String, ServiceSpec> services;
    private final Optional<Map<String, Account>> accounts;
    private final CallerLimits limits;

    /**
     * Creates a version.
     *
     * @param version number of the version; a higher one replaces a lower one
     * @param routes its routes
     * @param services its services
     * @param accounts accounts by key; empty if callers need none
     * @param limits limits on callers' requests
     */
    public Catalog(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Optional<Map<String, Account>> accounts,
            CallerLimits limits) {
        this.version = version;
        this.routes =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt((Route r) -> r.prefix().length())
                                        .reversed())
                        .collect(Collectors.groupingBy(Route::host));
        this.services = new TreeMap<>();
        services.forEach(s -> this.services.put(s.name(), s));
        this.accounts = accounts.map(Map::copyOf);
        this.limits = limits;
    }

    /**
     * Finds the route with the longest prefix that matches a path.
     *
     * @param host host of the request, with or without a port
     * @param path path of the request, without its query
     * @return the route, empty if there is none
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return routes.getOrDefault(name, List.of()).stream()
                .filter(r -> path.startsWith(r.prefix()))
                .findFirst();
    }

    /**
     * Finds the account of a key.
     *
     * @param key the key
     * @return the account, empty if no account holds the key
     */
    public Optional<Account> account(String key) {
        return accounts.map(a -> a.get(key));
    }

    /**
     * Returns whether the configuration has client accounts.
     *
     * @return true if a request needs a key, unless its route is anonymous
     */
    public boolean hasAccounts() {
        return accounts.isPresent();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, empty if this version has none of that name
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the services.
     *
     * @return all services, by name
     */
    public Map<String, ServiceSpec> services() {
        return services;
    }

    /**
     * Returns the number of this version.
     *
     * @return the number
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Counts the routes.
     *
     * @return number of routes
     */
    public int routeCount() {
        return routes.values().stream().mapToInt(List::size).sum();
    }
}
