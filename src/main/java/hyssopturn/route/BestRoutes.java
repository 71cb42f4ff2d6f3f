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
 * Takes the cheaper of two random ones among the best chains.
 *
 * <p>The best chains are kept and computed anew only for models whose engines or costs changed.
 */
public final class BestRoutes implements Routes {
    private static final Duration REFRESH = Duration.ofMillis(50);
    private static final int REPLACEMENTS = 4;
    private static final int PREFIXES = 20_000;

    /** Share of a prompt's cost that remains when an engine has its prefix cached. */
    private static final double CACHED_SHARE = 0.3;

    private final EngineCosts costs;
    private final Clock clock;
    private final RandomGenerator random;
    private final ReentrantLock refreshing = new ReentrantLock();
    private final Cache<Long, Chain> prefixes = Caffeine.newBuilder().maximumSize(PREFIXES).build();
    private volatile RouteTable table = RouteTable.EMPTY;
    private volatile long refreshedNanos;

    /**
     * Creates routes without any engine.
     *
     * @param costs predicts costs
     * @param clock time
     * @param random spreads requests over chains that are equally good
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
        Chain chosen = cheaper(query, routes, pick(chains), pick(chains));
        Chain warm = prefixes.getIfPresent(query.prefix());
        if (warm != null && warmIsCheaper(query, routes, warm, chosen)) {
            return Optional.of(warm);
        }
        prefixes.put(query.prefix(), chosen);
        return Optional.of(chosen);
    }

    private List<Chain> candidates(Query query, RouteTable routes) {
        List<Chain> steady = routes.chains(query.model(), 1);
        if (steady.isEmpty() || !promptBinds(query, routes, steady.getFirst())) {
            return steady;
        }
        return routes.chains(query.model(), query.promptTokens());
    }

    private static boolean promptBinds(Query query, RouteTable routes, Chain chain) {
        return switch (query.target()) {
            case Target.Answer(Duration first) -> true;
            case Target.Stream(Duration first, Duration between) ->
                    routes.nanos(chain, query.promptTokens()) / first.toNanos()
                            > routes.nanos(chain, 1) / between.toNanos();
        };
    }

    private Chain pick(List<Chain> chains) {
        return chains.get(random.nextInt(chains.size()));
    }

    private static Chain cheaper(Query query, RouteTable routes, Chain a, Chain b) {
        return share(query, routes, a, 1) <= share(query, routes, b, 1) ? a : b;
    }

    private static boolean warmIsCheaper(Query query, RouteTable routes, Chain warm, Chain chosen) {
        return warm.model().equals(query.model().id())
                && routes.usable(warm)
                && share(query, routes, warm, CACHED_SHARE) <= share(query, routes, chosen, 1);
    }

    /** Share of the binding target that a chain takes up. */
    private static double share(Query query, RouteTable routes, Chain chain, double promptShare) {
        double prompt = promptShare * routes.nanos(chain, query.promptTokens());
        double ofFirst = prompt / query.target().first().toNanos();
        return switch (query.target()) {
            case Target.Answer answer -> ofFirst;
            case Target.Stream(Duration first, Duration between) ->
                    Math.max(ofFirst, routes.nanos(chain, 1) / between.toNanos());
        };
    }

    @Override
    public Optional<Chain> cover(Want want, View view, Set<InstanceId> avoid) {
        RouteTable routes = current(view);
        LayerRange layers = want.layers();
        List<Path> paths =
                new LayeredGraph(routes.holders(want.model(), avoid), layers)
                        .disjoint(want.tokens(), REPLACEMENTS);
        if (paths.isEmpty()) {
            return Optional.empty();
        }
        double limit = RouteTable.SLACK * paths.getFirst().nanos();
        List<Path> good = paths.stream().filter(p -> p.nanos() <= limit).toList();
        Path chosen = good.get(random.nextInt(good.size()));
        return Optional.of(new Chain(want.model(), chosen.stages()));
    }

    @Override
    public double nanos(Chain.Stage stage, int tokens) {
        return table.nanos(stage, tokens);
    }

    private RouteTable current(View view) {
        boolean due = clock.nanos() - refreshedNanos >= REFRESH.toNanos();
        return due ? refresh(view) : table;
    }

    private RouteTable refresh(View view) {
        // while another thread refreshes, the table before is good enough
        if (refreshing.tryLock()) {
            try {
                table = table.refreshed(view, costs);
                refreshedNanos = clock.nanos();
            } finally {
                refreshing.unlock();
            }
        }
        return table;
    }
}
