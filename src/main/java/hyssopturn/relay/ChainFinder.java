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

/** Finds chains for one request among the engines that are known now. */
final class ChainFinder {
    private final RelayParts parts;
    private final String service;
    private final EngineSpec spec;
    private final ChainSearch.Size size;

    ChainFinder(RelayParts parts, String service, EngineSpec spec, CallHeaders headers) {
        this.parts = parts;
        this.service = service;
        this.spec = spec;
        size = size(headers, spec);
    }

    /** Answers are rarely as long as they may be, so the guess or the usual length counts. */
    private static ChainSearch.Size size(CallHeaders headers, EngineSpec spec) {
        long expected =
                headers.expectedTokens().orElse(Math.round(Math.ceil(spec.meanAnswerTokens())));
        return new ChainSearch.Size(
                headers.promptTokens(), Math.min(headers.answerTokens(), expected));
    }

    /** Counts the tokens that the request may hold at an engine. */
    long tokens() {
        return size.tokens();
    }

    /** Finds a chain, if need be with engines that refused a short time ago. */
    Optional<EngineChain> any(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        return search(first, excluded, false);
    }

    /** Finds a chain of engines that did not refuse a short time ago. */
    Optional<EngineChain> withRoom(Predicate<Endpoint> first, Set<InstanceId> excluded) {
        return search(first, excluded, true);
    }

    private Optional<EngineChain> search(
            Predicate<Endpoint> first, Set<InstanceId> excluded, boolean withRoom) {
        long now = parts.clock().nanos();
        List<Endpoint> usable = parts.knowledge().roster().usable(service, now);
        if (withRoom) {
            usable =
                    usable.stream()
                            .filter(e -> !parts.load().recentlyRefused(e.id(), now))
                            .toList();
        }
        Optional<EngineChain> found =
                search(now).cheapest(usable, parts.settings().zone(), size, excluded, first);
        parts.meters()
                .timer("hyssopturn.chain.searches", "found", String.valueOf(found.isPresent()))
                .record(Duration.ofNanos(parts.clock().nanos() - now));
        return found;
    }

    private ChainSearch search(long now) {
        return new ChainSearch(spec, parts.load(), parts.random(), now);
    }

    /** Finds engines that take the part of one behind the first; the others stay. */
    Optional<EngineChain> around(EngineChain chain, Endpoint lost, Set<InstanceId> excluded) {
        long now = parts.clock().nanos();
        List<Endpoint> usable = parts.knowledge().roster().usable(service, now);
        return search(now).replaceEngine(chain, lost.id(), usable, size, excluded);
    }

    /** Asks for this node's part of the pipes' time that the prompt needs to pass them. */
    boolean mayCross(int crossings) {
        long now = parts.clock().nanos();
        return parts.pipes().tryAcquire(crossings, size.promptTokens(), spec, now);
    }

    /** Names a chain's engines and layers as engines are told of them. */
    static List<EngineControl.Hop> path(EngineChain chain) {
        return chain.hops().stream()
                .map(h -> new EngineControl.Hop(h.engine().address(), h.range()))
                .toList();
    }

    /** Finds an engine of a chain that is under suspicion. */
    Optional<Endpoint> suspect(EngineChain chain) {
        long now = parts.clock().nanos();
        return chain.hops().stream()
                .map(Hop::engine)
                .filter(e -> parts.knowledge().roster().suspected(e, now))
                .findFirst();
    }

    /** Finds an engine behind the first one that is about to leave. */
    Optional<Endpoint> departing(EngineChain chain, Set<InstanceId> excluded) {
        long now = parts.clock().nanos();
        return chain.hops().stream()
                .skip(1)
                .map(Hop::engine)
                .filter(e -> !excluded.contains(e.id()))
                .filter(e -> parts.knowledge().roster().leavingOrGone(e, now))
                .findFirst();
    }
}
