package hyssopturn.platform;

import static hyssopturn.platform.JsonValue.integer;
import static hyssopturn.platform.JsonValue.text;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.CallerLimits;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.CatalogGaps;
import hyssopturn.catalog.CatalogReading;
import hyssopturn.catalog.Route;
import hyssopturn.catalog.RouteKey;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.model.Bytes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decodes the operator's configuration from JSON as far as it can be read.
 *
 * <p>The last readable form of a route or service stands in for one that cannot be read; if the
 * host or prefix of a route cannot be read, all routes of the previous version stay. Accounts have
 * no such form, since it might hold a key that was taken away.
 */
final class CatalogDecoder {
    /** Key of the configuration in its stream. */
    static final String KEY = "config";

    private static final int MAX_NAME_LENGTH = 100;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonNode config;
    private final Optional<Catalog> previous;
    private final List<String> unreadable = new ArrayList<>();
    private final Set<RouteKey> unreadableRoutes = new HashSet<>();
    private boolean oldRoutes;
    private boolean routesUnreadable;
    private final Set<String> unusableKeys = new HashSet<>();
    private boolean accountsUnreadable;
    private boolean servicesUnreadable;

    private CatalogDecoder(JsonNode config, Optional<Catalog> previous) {
        this.config = config;
        this.previous = previous;
    }

    /**
     * Decodes a version.
     *
     * @param value the JSON text
     * @param previous the version in force, empty if there is none
     * @throws JsonValue.MalformedException if the text is no JSON, has no version, or has a route
     *     of unknown host or prefix and there is no previous version
     */
    static CatalogReading decode(Bytes value, Optional<Catalog> previous) {
        try {
            return new CatalogDecoder(JSON.readTree(value.toArray()), previous).decode();
        } catch (IOException e) {
            throw new JsonValue.MalformedException(
                    "configuration is not valid JSON: " + e.getMessage());
        }
    }

    private CatalogReading decode() {
        long version = integer(config, "Version");
        List<Route> routes = routes();
        List<ServiceSpec> services = services();
        Optional<Map<String, Account>> accounts = accounts();
        CallerLimits limits = limits();
        reportPriorities("Routes");
        reportPriorities("Tenants");
        CatalogGaps gaps =
                new CatalogGaps(
                        routesUnreadable,
                        unreadableRoutes,
                        accountsUnreadable,
                        unusableKeys,
                        servicesUnreadable);
        return new CatalogReading(
                new Catalog(version, routes, services, accounts, limits, gaps), unreadable);
    }

    private List<Route> routes() {
        JsonNode list = config.path("Routes");
        if (!list.isArray() && !list.isMissingNode()) {
            return previousRoutes("Routes must be an array");
        }
        List<Route> routes = new ArrayList<>();
        for (JsonNode node : list) {
            try {
                routes.add(CatalogEntries.route(node));
            } catch (RuntimeException e) {
                report("route", node, e);
                Optional<RouteKey> key = routeKey(node);
                if (key.isEmpty()) {
                    return previousRoutes("route of unknown host or prefix");
                }
                previousRoute(key.get(), node).ifPresent(routes::add);
            }
        }
        return routes;
    }

    private static Optional<RouteKey> routeKey(JsonNode node) {
        String host = node.path("Host").asText("").toLowerCase(Locale.ROOT);
        String prefix = node.path("PathPrefix").asText("");
        boolean known = !host.isBlank() && prefix.startsWith("/") && prefix.endsWith("/");
        return known ? Optional.of(new RouteKey(host, prefix)) : Optional.empty();
    }

    /** Returns the last readable form of a route; without one, its requests must be refused. */
    private Optional<Route> previousRoute(RouteKey key, JsonNode node) {
        Optional<Route> known = previous.flatMap(p -> p.route(key));
        if (known.isEmpty()) {
            unreadableRoutes.add(key);
            return Optional.empty();
        }
        oldRoutes = true;
        JsonNode anonymous = node.path("AnonymousAccess");
        return known.map(r -> anonymous.isBoolean() ? r.withAnonymous(anonymous.asBoolean()) : r);
    }

    private List<Route> previousRoutes(String cause) {
        Catalog old = previous.orElseThrow(() -> new JsonValue.MalformedException(cause));
        unreadable.add(cause + ": all routes of version " + old.version() + " stay");
        routesUnreadable = true;
        oldRoutes = true;
        unreadableRoutes.clear();
        unreadableRoutes.addAll(old.gaps().routes());
        return old.routes();
    }

    private List<ServiceSpec> services() {
        Map<String, ServiceSpec> services = new TreeMap<>();
        JsonNode list = config.path("Services");
        if (!list.isArray() && !list.isMissingNode()) {
            servicesUnreadable = true;
            unreadable.add("Services must be an array");
        }
        for (JsonNode node : list.isArray() ? list : JSON.createArrayNode()) {
            try {
                ServiceSpec service = CatalogEntries.service(node);
                services.put(service.name(), service);
            } catch (RuntimeException e) {
                servicesUnreadable = true;
                report("service", node, e);
            }
        }
        if (servicesUnreadable || oldRoutes) {
            previous.ifPresent(p -> p.services().forEach(services::putIfAbsent));
        }
        return List.copyOf(services.values());
    }

    /** Decodes the accounts. None at all need no key, but only if nothing needed one before. */
    private Optional<Map<String, Account>> accounts() {
        JsonNode list = config.path("Tenants");
        boolean none = list.isNull() && previous.filter(Catalog::hasAccounts).isEmpty();
        if (list.isMissingNode() || none) {
            return Optional.empty();
        }
        Map<String, Account> accounts = new HashMap<>();
        if (!list.isArray()) {
            accountsUnreadable = true;
            unreadable.add("Tenants must be an array");
            return Optional.of(accounts);
        }
        for (JsonNode node : list) {
            try {
                addKeys(node, accounts);
            } catch (RuntimeException e) {
                accountsUnreadable = true;
                report("account", node, e);
            }
        }
        return Optional.of(accounts);
    }

    /** Adds the keys of an account; endpoints cannot be told a name that no header carries. */
    private void addKeys(JsonNode node, Map<String, Account> accounts) {
        Account account = new Account(text(node, "Name"), CatalogEntries.priority(node));
        List<String> keys = keys(node);
        if (HeaderText.encode(account.name()).isEmpty()) {
            unusableKeys.addAll(keys);
            unreadable.add("account " + shortName(node) + ": Name cannot be sent in a header");
            return;
        }
        keys.forEach(key -> accounts.put(key, account));
    }

    private static List<String> keys(JsonNode node) {
        List<String> texts = new ArrayList<>();
        JsonNode keys = node.path("ApiKeys");
        if (!keys.isArray() && !keys.isMissingNode()) {
            throw new JsonValue.MalformedException("ApiKeys must be an array");
        }
        for (JsonNode key : keys) {
            if (!key.isTextual() || key.asText().isBlank()) {
                throw new JsonValue.MalformedException("ApiKeys must be strings");
            }
            texts.add(key.asText());
        }
        return texts;
    }

    private CallerLimits limits() {
        JsonNode node = config.path("Limits");
        try {
            return CatalogEntries.limits(node);
        } catch (RuntimeException e) {
            report("limits", node, e);
            return previous.map(Catalog::limits)
                    .orElseGet(() -> CatalogEntries.limits(JSON.createObjectNode()));
        }
    }

    /** Reports the malformed priorities of a list in one message, since a list may be long. */
    private void reportPriorities(String list) {
        List<JsonNode> malformed =
                config.path(list).valueStream().filter(CatalogEntries::malformedPriority).toList();
        if (!malformed.isEmpty()) {
            String first = shortName(malformed.getFirst());
            unreadable.add(
                    "Priority of " + malformed.size() + " of " + list + " ignored, first " + first);
        }
    }

    private static String shortName(JsonNode node) {
        String name = node.path("Name").asText("");
        return name.substring(0, Math.min(name.length(), MAX_NAME_LENGTH));
    }

    private void report(String kind, JsonNode node, RuntimeException error) {
        unreadable.add(kind + " " + shortName(node) + ": " + error.getMessage());
    }
}
