package hyssopturn.catalog;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One version of the operator's configuration; immutable. */
public final class Catalog {
    private final long version;
    private final List<Route> routes;
    private final Map<String, List<Entry>> entriesByHost;
    private final Map<String, ServiceSpec> services;
    private final Optional<Map<String, Account>> accounts;
    private final CallerLimits limits;
    private final CatalogGaps gaps;
    private final Set<String> servicesWithPriorities;
    private final Set<String> servicesWithDifferentRoutes;

    /** A route, empty if it could not be read, and the requests that it applies to. */
    private record Entry(RouteKey key, Optional<Route> route) {}

    /**
     * Creates a version that was read completely.
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
        this(version, routes, services, accounts, limits, CatalogGaps.NONE);
    }

    /**
     * Creates a version.
     *
     * @param version number of the version; a higher one replaces a lower one
     * @param routes its routes
     * @param services its services
     * @param accounts accounts by key; empty if callers need none
     * @param limits limits on callers' requests
     * @param gaps parts of the version that could not be read
     */
    public Catalog(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Optional<Map<String, Account>> accounts,
            CallerLimits limits,
            CatalogGaps gaps) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.gaps = gaps;
        entriesByHost =
                Stream.concat(
                                routes.stream().map(r -> new Entry(r.key(), Optional.of(r))),
                                gaps.routes().stream().map(k -> new Entry(k, Optional.empty())))
                        .sorted(
                                Comparator.comparingInt((Entry e) -> e.key().prefix().length())
                                        .reversed())
                        .collect(Collectors.groupingBy(e -> e.key().host()));
        this.services = new TreeMap<>();
        services.forEach(s -> this.services.put(s.name(), s));
        this.accounts = accounts.map(Map::copyOf);
        this.limits = limits;
        servicesWithDifferentRoutes = Priorities.servicesWithSeveral(routes, Set.of());
        servicesWithPriorities =
                Priorities.servicesWithSeveral(
                        routes, this.accounts.map(a -> Set.copyOf(a.values())).orElse(Set.of()));
    }

    /**
     * Finds the route with the longest prefix that matches a path.
     *
     * @param host host of the request, with or without a port
     * @param path path of the request, without its query
     * @return the route, empty if there is none or it could not be read
     */
    public Optional<Route> route(String host, String path) {
        return entry(host, path).flatMap(Entry::route);
    }

    private Optional<Entry> entry(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return entriesByHost.getOrDefault(name, List.of()).stream()
                .filter(e -> path.startsWith(e.key().prefix()))
                .findFirst();
    }

    /**
     * Finds the route with exactly a host and prefix.
     *
     * @param key host and prefix
     * @return the route, empty if there is none or it could not be read
     */
    public Optional<Route> route(RouteKey key) {
        return routes.stream().filter(r -> r.key().equals(key)).findFirst();
    }

    /**
     * Returns whether a path of which no route is known may have one.
     *
     * @param host host of the request, with or without a port
     * @param path path of the request, without its query
     * @return false if it certainly has none
     */
    public boolean mayHaveRoute(String host, String path) {
        return gaps.allRoutes() || entry(host, path).isPresent();
    }

    /**
     * Returns the parts of this version that could not be read.
     *
     * @return the parts
     */
    public CatalogGaps gaps() {
        return gaps;
    }

    /**
     * Returns the routes.
     *
     * @return all routes
     */
    public List<Route> routes() {
        return routes;
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
     * Returns whether a request of which no account is known may belong to one.
     *
     * @param key key of the request, empty if it has none
     * @return false if it certainly belongs to none
     */
    public boolean mayHaveAccount(Optional<String> key) {
        return gaps.accounts() || key.filter(gaps.keys()::contains).isPresent();
    }

    /**
     * Returns whether requests to a service may have different priorities.
     *
     * @param service name of the service
     * @return true if its routes or the accounts give it more than one priority
     */
    public boolean hasSeveralPriorities(String service) {
        return servicesWithPriorities.contains(service);
    }

    /**
     * Returns whether the routes of a service have different priorities.
     *
     * @param service name of the service
     * @return true if at least two of its routes differ
     */
    public boolean routesDifferInPriority(String service) {
        return servicesWithDifferentRoutes.contains(service);
    }

    /**
     * Finds an account by its name.
     *
     * @param name the name
     * @return the account, empty if there is none
     */
    public Optional<Account> accountNamed(String name) {
        return accounts.stream()
                .flatMap(a -> a.values().stream())
                .filter(a -> a.name().equals(name))
                .findFirst();
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
     * Returns whether a service is not known because a part of this version could not be read.
     *
     * @param name its name
     * @return false if the service is known or certainly has no specification
     */
    public boolean lacksService(String name) {
        return gaps.services() && !services.containsKey(name);
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
        return routes.size();
    }
}
