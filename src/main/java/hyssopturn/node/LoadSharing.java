package hyssopturn.node;

import hyssopturn.catalog.Catalog;
import hyssopturn.fleet.Endpoint;
import hyssopturn.load.LoadExchange;
import hyssopturn.load.LoadScope;
import hyssopturn.load.LoadView;
import hyssopturn.load.OwnLoad;
import hyssopturn.model.Address;
import hyssopturn.peer.LoadSocket;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.port.Clock;
import hyssopturn.relay.RoutingState;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Assembles the exchange of loads between nodes, with its socket and metrics. */
final class LoadSharing {
    private final PlatformSettings platform;
    private final RoutingState knowledge;
    private final OwnLoad own = new OwnLoad();
    private final LoadSocket socket;
    private final LoadExchange exchange;

    LoadSharing(
            Vertx vertx,
            PlatformSettings platform,
            int minNodes,
            RoutingState knowledge,
            Clock clock,
            RandomGenerator random,
            MeterRegistry meters) {
        this.platform = platform;
        this.knowledge = knowledge;
        socket = new LoadSocket(vertx);
        exchange =
                new LoadExchange(
                        platform.loads(),
                        platform.zone(),
                        PlatformAdapter.partitions(platform),
                        minNodes,
                        clock,
                        random,
                        socket,
                        own,
                        this::scopes,
                        id -> knowledge.roster().find(id).map(LoadSharing::scope));
        register(meters);
    }

    private void register(MeterRegistry meters) {
        meters.gauge("hyssopturn.load.age.seconds", exchange, LoadExchange::ageSeconds);
        meters.gauge("hyssopturn.load.nodes", exchange, LoadExchange::nodesHeard);
        FunctionCounter.builder("hyssopturn.load.sent", exchange, LoadExchange::sent)
                .register(meters);
        FunctionCounter.builder("hyssopturn.load.received", exchange, LoadExchange::received)
                .register(meters);
        FunctionCounter.builder("hyssopturn.load.dropped", exchange, LoadExchange::dropped)
                .register(meters);
    }

    private static LoadScope scope(Endpoint endpoint) {
        return new LoadScope(endpoint.service(), endpoint.zone());
    }

    /** Returns the services with engines, each in all zones that have engines and in this one. */
    private Set<LoadScope> scopes() {
        List<String> services =
                knowledge.catalog().map(Catalog::services).orElse(Map.of()).values().stream()
                        .filter(s -> s.engine().isPresent())
                        .map(s -> s.name())
                        .toList();
        Set<String> zones = new HashSet<>(Set.of(platform.zone()));
        for (String service : services) {
            knowledge.roster().listed(service).forEach(e -> zones.add(e.zone()));
        }
        Set<LoadScope> scopes = new HashSet<>();
        for (String service : services) {
            zones.forEach(zone -> scopes.add(new LoadScope(service, zone)));
        }
        return scopes;
    }

    /** Returns the load by this node's own requests. */
    OwnLoad own() {
        return own;
    }

    /** Returns what is known of the load of all nodes. */
    LoadView view() {
        return exchange;
    }

    /** Returns whether the holders of the partitions should be read again. */
    boolean ownersOutdated() {
        return exchange.ownersOutdated();
    }

    /** Sets the holders of the partitions, by the addresses at which limits are exchanged. */
    void owners(Map<Integer, Address> current) {
        Map<Integer, Address> addresses = new HashMap<>();
        current.forEach(
                (partition, peer) -> addresses.put(partition, PlatformSettings.loads(peer)));
        exchange.owners(addresses);
    }

    /** Sets the partitions that this node holds. */
    void assign(Set<Integer> held) {
        exchange.assign(held);
    }

    /** Starts on the event loop. */
    void start() {
        socket.listen(platform.loads(), exchange::receive, exchange::recordMalformed);
        exchange.start();
    }
}
