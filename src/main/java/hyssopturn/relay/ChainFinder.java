package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.Route;
import hyssopturn.chain.ChainSearch;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.Hop;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.chain.ZoneChoice;
import hyssopturn.chain.ZoneFlows;
import hyssopturn.chain.ZoneLink;
import hyssopturn.chain.ZonePlan;
import hyssopturn.chain.ZoneStates;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Finds chains for one request among the engines that are currently known. */
final class ChainFinder {
    /** Obstacle of a request whose only chain passes links between zones that are used up. */
    static final String NO_LINK_TIME = "no link time between zones";

    private static final String OWN_ZONE = "own zone";
    private static final String PART = "hyssopturn.zone.part";

    private final RelayContext context;
    private final String service;
    private final EngineSpec spec;
    private final ChainSearch.Size size;
    private final ZoneChoice.Request request;

    ChainFinder(RelayContext context, Admitted admitted, EngineSpec spec) {
        this.context = context;
        service = admitted.service();
        this.spec = spec;
        size = size(admitted.headers(), spec);
        Route route = admitted.route();
        request = new ZoneChoice.Request(size, route.target(), admitted.priority());
    }

    /**
     * Estimates the size of the request. Answers are rarely as long as their maximum, so the
     * caller's estimate or the usual length of the service is used if it is smaller.
     */
    private static ChainSearch.Size size(CallHeaders headers, EngineSpec spec) {
        long expected =
                headers.expectedTokens().orElse(Math.round(Math.ceil(spec.meanAnswerTokens())));
        return new ChainSearch.Size(
                headers.promptTokens(), Math.min(headers.answerTokens(), expected));
    }

    /** Returns the number of tokens that the request may hold at an engine. */
    long tokens() {
        return size.tokens();
    }

    /**
     * Finds a chain, which may include engines that refused a request recently and, if there is no
     * other chain, engines that only other nodes suspect.
     */
    Optional<EngineChain> findAny(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        List<Endpoint> usable = usable();
        Optional<EngineChain> found = search(usable, first, excluded);
        if (found.isPresent()) {
            return found;
        }
        List<Endpoint> withReported = roster().usableOrReported(service, now());
        return withReported.size() > usable.size()
                ? search(withReported, first, excluded)
                : Optional.empty();
    }

    /**
     * Finds a chain for a request that would fail without one; it may include suspected engines.
     */
    Optional<EngineChain> findSuspected(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        return search(roster().usableOrSuspected(service, now()), first, excluded);
    }

    /** Returns whether there is a chain with room once engines that may only be silent go on. */
    boolean blockedBySilence(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        long now = now();
        List<Endpoint> engines =
                roster().usableOrSilent(service, now).stream()
                        .filter(e -> !context.load().recentlyRefused(e.id(), now))
                        .toList();
        return search(engines, first, excluded).stream()
                .flatMap(chain -> chain.hops().stream())
                .anyMatch(hop -> roster().suspected(hop.engine(), now));
    }

    /**
     * Finds a chain for a request that would be refused without one; it may include engines that
     * announced their shutdown a short time ago.
     */
    Optional<EngineChain> findShuttingDown(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        List<Endpoint> leaving =
                roster().shuttingDown(service, context.settings().shutdownPeriod(), now());
        if (leaving.isEmpty()) {
            return Optional.empty();
        }
        List<Endpoint> engines = new ArrayList<>(usable());
        engines.addAll(leaving);
        return search(engines, first, excluded);
    }

    /**
     * Finds a chain that may include engines that refused a request recently, that only other nodes
     * suspect, or that announced their shutdown.
     */
    Optional<EngineChain> findDoubtful(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        return findAny(first, excluded).or(() -> findShuttingDown(first, excluded));
    }

    /**
     * Finds a chain of engines that have not refused a request recently. Engines whose pause has
     * just ended are considered for part of the requests.
     */
    Optional<EngineChain> findWithCapacity(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        long now = now();
        List<Endpoint> withCapacity =
                usable().stream()
                        .filter(e -> !context.load().recentlyRefused(e.id(), now))
                        .filter(context::drawForUse)
                        .toList();
        return search(withCapacity, first, excluded);
    }

    private Optional<EngineChain> search(
            List<Endpoint> engines, Predicate<Endpoint> first, Set<InstanceId> excluded) {
        long now = now();
        Optional<EngineChain> found =
                newSearch(now).cheapest(engines, context.settings().zone(), size, excluded, first);
        context.meters()
                .timer("hyssopturn.chain.searches", "found", String.valueOf(found.isPresent()))
                .record(Duration.ofNanos(now() - now));
        return found;
    }

    private long now() {
        return context.clock().nanos();
    }

    private Roster roster() {
        return context.routingState().roster();
    }

    private List<Endpoint> usable() {
        return roster().usable(service, now());
    }

    private ChainSearch newSearch(long now) {
        return new ChainSearch(spec, context.load(), context.random(), now, zoneChoice(now));
    }

    private Optional<ZoneChoice> zoneChoice(long now) {
        return zonePlan(now).map(plan -> new ZoneChoice(spec, plan, request));
    }

    /** Returns what is known of the zones, empty if too little. */
    Optional<ZonePlan> zonePlan() {
        return zonePlan(now());
    }

    /** Returns the order in which zones are tried for a request that is not drawn to leave. */
    List<ZoneChoice.Way> ways(ZonePlan plan) {
        return new ZoneChoice(spec, plan, request).order(1);
    }

    private Optional<ZonePlan> zonePlan(long now) {
        if (!context.settings().zoneChoice()) {
            return Optional.empty();
        }
        String zone = context.settings().zone();
        return context.zoneLinks()
                .flows()
                .plan(
                        service,
                        zone,
                        () -> new ZoneStates(spec).known(service, zone, usable(), context.loads()),
                        now,
                        this::recordFlow);
    }

    private void recordFlow(String of, String zone, double part) {
        Tags tags = Tags.of("service", of, "zone", zone);
        if (context.meters().find(PART).tags(tags).gauge() == null) {
            ZoneFlows flows = context.zoneLinks().flows();
            Gauge.builder(PART, flows, f -> f.part(of, zone)).tags(tags).register(context.meters());
        }
        context.trace()
                .record(new TraceEvent.ZoneFlowChanged(of, context.settings().zone(), zone, part));
    }

    /** Counts an attempt on a chain that is not, or not only, in this node's zone. */
    void countCrossing(EngineChain chain) {
        String own = context.settings().zone();
        String reach = chain.reach(own);
        if (reach.equals(OWN_ZONE)) {
            return;
        }
        double bytes = ZoneChoice.bytes(size, chain.crossings(), spec);
        context.meters().counter("hyssopturn.zone.requests", "reach", reach).increment();
        context.meters().counter("hyssopturn.zone.bytes", "reach", reach).increment(bytes);
    }

    /**
     * Finds a chain in which other engines replace one behind the first; the rest stays the same.
     */
    Optional<EngineChain> findDetour(
            EngineChain chain, Endpoint replaced, Set<InstanceId> excluded) {
        return newSearch(now()).replaceEngine(chain, replaced.id(), usable(), size, excluded);
    }

    /** Reserves transfer time of the prompt on links between zones, from this node's share. */
    boolean reserveZoneLinks(List<ZoneLink> links, InterZoneBudget.Use use) {
        boolean granted =
                context.zoneLinks().tryAcquire(links, size.promptTokens(), spec, use, now());
        countLinkTime(links, granted);
        return granted;
    }

    private void countLinkTime(List<ZoneLink> links, boolean granted) {
        double millis = InterZoneBudget.transferMillis(size.promptTokens(), spec);
        for (ZoneLink link : links) {
            String name = link.first() + "-" + link.second();
            String outcome = granted ? "granted" : "refused";
            context.meters()
                    .counter("hyssopturn.zone.link.millis", "link", name, "outcome", outcome)
                    .increment(millis);
        }
    }

    /** Converts a chain to the form that is sent to engines. */
    static List<EngineControl.Hop> path(EngineChain chain) {
        return chain.hops().stream()
                .map(h -> new EngineControl.Hop(h.engine().address(), h.range()))
                .toList();
    }

    /** Returns whether a chain has an engine of which nothing is to be expected any more. */
    boolean lost(EngineChain chain) {
        long now = now();
        return chain.hops().stream().anyMatch(hop -> roster().lost(hop.engine(), now));
    }

    /** Finds an engine behind the first one that is about to shut down. */
    Optional<Endpoint> findDeparting(EngineChain chain, Set<InstanceId> excluded) {
        long now = now();
        return chain.hops().stream()
                .skip(1)
                .map(Hop::engine)
                .filter(e -> !excluded.contains(e.id()))
                .filter(e -> roster().leavingOrGone(e, now))
                .findFirst();
    }
}
