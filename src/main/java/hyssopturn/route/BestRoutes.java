package hyssopturn.route;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.Target;
import hyssopturn.port.Clock;
import hyssopturn.route.LayeredGraph.Path;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

/**
 * Picks two of the best chains at random and chooses the cheaper one.
 *
 * <p>The best chains are cached and recomputed only for models whose engines or costs changed.
 */
public final class BestRoutes implements Routes {
    private static final Duration REFRESH_INTERVAL = Duration.ofMillis(50);
    private static final int MAX_REPLACEMENTS = 4;
    private static final int MAX_PREFIXES = 20_000;

    /** Share of a prompt's cost that remains when an engine has cached the prefix. */
    private static final double CACHED_SHARE = 0.3;

    private final EngineCosts costs;
    private final Clock clock;
    private final RandomGenerator random;
    private final ReentrantLock refreshLock = new ReentrantLock();
    private final Cache<Long, Chain> chainsByPrefix =
            Caffeine.newBuilder().maximumSize(MAX_PREFIXES).build();
    private volatile RouteTable table = RouteTable.EMPTY;
    private volatile long refreshedNanos;

    /**
     * Creates routes that know no engines yet.
     *
     * @param costs cost model of the engines
     * @param clock source of time
     * @param random spreads requests over chains of similar cost
     */
    public BestRoutes(EngineCosts costs, Clock clock, RandomGenerator random) {
        this.costs = costs;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public Optional<Chain> choose(Query query, View view) {
        RouteTable routes = current(view);
        List<Chain> chains = candidates(query, routes);
        if (chains.isEmpty()) {
            routes = refresh(view);
            chains = candidates(query, routes);
        }
        if (chains.isEmpty()) {
            return Optional.empty();
        }
        Chain chosen = cheaper(query, routes, randomChain(chains), randomChain(chains));
        Chain cached = chainsByPrefix.getIfPresent(query.prefix());
        if (cached != null && cachedIsCheaper(query, routes, cached, chosen)) {
            return Optional.of(cached);
        }
        chainsByPrefix.put(query.prefix(), chosen);
        return Optional.of(chosen);
    }

    private List<Chain> candidates(Query query, RouteTable routes) {
        List<Chain> decodeChains = routes.chains(query.model(), 1);
        if (decodeChains.isEmpty() || !promptDominates(query, routes, decodeChains.getFirst())) {
            return decodeChains;
        }
        return routes.chains(query.model(), query.promptTokens());
    }

    /** Returns whether the first token takes a larger share of its target than later tokens. */
    private static boolean promptDominates(Query query, RouteTable routes, Chain chain) {
        return switch (query.target()) {
            case Target.Answer(Duration first) -> true;
            case Target.Stream(Duration first, Duration between) ->
                    routes.nanos(chain, query.promptTokens()) / first.toNanos()
                            > routes.nanos(chain, 1) / between.toNanos();
        };
    }

    private Chain randomChain(List<Chain> chains) {
        return chains.get(random.nextInt(chains.size()));
    }

    private static Chain cheaper(Query query, RouteTable routes, Chain a, Chain b) {
        return targetShare(query, routes, a, 1) <= targetShare(query, routes, b, 1) ? a : b;
    }

    private static boolean cachedIsCheaper(
            Query query, RouteTable routes, Chain cached, Chain chosen) {
        return cached.model().equals(query.model().id())
                && routes.usable(cached)
                && targetShare(query, routes, cached, CACHED_SHARE)
                        <= targetShare(query, routes, chosen, 1);
    }

    /** Returns the predicted time as a share of the target that is closest to being missed. */
    private static double targetShare(
            Query query, RouteTable routes, Chain chain, double promptShare) {
        double prompt = promptShare * routes.nanos(chain, query.promptTokens());
        double ofFirst = prompt / query.target().first().toNanos();
        return switch (query.target()) {
            case Target.Answer answer -> ofFirst;
            case Target.Stream(Duration first, Duration between) ->
                    Math.max(ofFirst, routes.nanos(chain, 1) / between.toNanos());
        };
    }

    @Override
    public Optional<Chain> cover(CoverQuery query, View view, Set<InstanceId> avoid) {
        RouteTable routes = current(view);
        LayerRange layers = query.layers();
        List<Path> paths =
                new LayeredGraph(routes.holders(query.model(), avoid), layers)
                        .disjoint(query.tokens(), MAX_REPLACEMENTS);
        if (paths.isEmpty()) {
            return Optional.empty();
        }
        double limit = RouteTable.MAX_COST_RATIO * paths.getFirst().nanos();
        List<Path> candidates = paths.stream().filter(p -> p.nanos() <= limit).toList();
        Path chosen = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(new Chain(query.model(), chosen.stages()));
    }

    @Override
    public double nanos(Chain.Stage stage, int tokens) {
        return table.nanos(stage, tokens);
    }

    private RouteTable current(View view) {
        boolean due = clock.nanos() - refreshedNanos >= REFRESH_INTERVAL.toNanos();
        return due ? refresh(view) : table;
    }

    private RouteTable refresh(View view) {
        // while another thread refreshes the table, this one uses the previous table
        if (refreshLock.tryLock()) {
            try {
                table = table.refreshed(view, costs);
                refreshedNanos = clock.nanos();
            } finally {
                refreshLock.unlock();
            }
        }
        return table;
    }
}
