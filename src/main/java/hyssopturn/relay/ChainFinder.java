package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.chain.ChainSearch;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.Hop;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Finds chains for one request among the engines that are currently known. */
final class ChainFinder {
    private final RelayContext context;
    private final String service;
    private final EngineSpec spec;
    private final ChainSearch.Size size;

    ChainFinder(RelayContext context, String service, EngineSpec spec, CallHeaders headers) {
        this.context = context;
        this.service = service;
        this.spec = spec;
        size = size(headers, spec);
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

    /** Finds a chain, which may include engines that refused a request recently. */
    Optional<EngineChain> findAny(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        return search(first, excluded, false);
    }

    /** Finds a chain of engines that have not refused a request recently. */
    Optional<EngineChain> findWithCapacity(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        return search(first, excluded, true);
    }

    private Optional<EngineChain> search(
            Predicate<Endpoint> first, Set<InstanceId> excluded, boolean withCapacity) {
        long now = context.clock().nanos();
        List<Endpoint> usable = context.routingState().roster().usable(service, now);
        if (withCapacity) {
            usable =
                    usable.stream()
                            .filter(e -> !context.load().recentlyRefused(e.id(), now))
                            .toList();
        }
        Optional<EngineChain> found =
                newSearch(now).cheapest(usable, context.settings().zone(), size, excluded, first);
        context.meters()
                .timer("hyssopturn.chain.searches", "found", String.valueOf(found.isPresent()))
                .record(Duration.ofNanos(context.clock().nanos() - now));
        return found;
    }

    private ChainSearch newSearch(long now) {
        return new ChainSearch(spec, context.load(), context.random(), now);
    }

    /**
     * Finds a chain in which other engines replace one behind the first; the rest stays the same.
     */
    Optional<EngineChain> findDetour(
            EngineChain chain, Endpoint replaced, Set<InstanceId> excluded) {
        long now = context.clock().nanos();
        List<Endpoint> usable = context.routingState().roster().usable(service, now);
        return newSearch(now).replaceEngine(chain, replaced.id(), usable, size, excluded);
    }

    /** Reserves transfer time of the prompt on links between zones, from this node's share. */
    boolean reserveZoneLinks(int crossings) {
        long now = context.clock().nanos();
        return context.zoneLinks().tryAcquire(crossings, size.promptTokens(), spec, now);
    }

    /** Converts a chain to the form that is sent to engines. */
    static List<EngineControl.Hop> path(EngineChain chain) {
        return chain.hops().stream()
                .map(h -> new EngineControl.Hop(h.engine().address(), h.range()))
                .toList();
    }

    /** Finds an engine of a chain that is suspected to have failed. */
    Optional<Endpoint> findSuspect(EngineChain chain) {
        long now = context.clock().nanos();
        return chain.hops().stream()
                .map(Hop::engine)
                .filter(e -> context.routingState().roster().suspected(e, now))
                .findFirst();
    }

    /** Finds an engine behind the first one that is about to shut down. */
    Optional<Endpoint> findDeparting(EngineChain chain, Set<InstanceId> excluded) {
        long now = context.clock().nanos();
        return chain.hops().stream()
                .skip(1)
                .map(Hop::engine)
                .filter(e -> !excluded.contains(e.id()))
                .filter(e -> context.routingState().roster().leavingOrGone(e, now))
                .findFirst();
    }
}
