package hyssopturn.catalog;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/** Effective priorities of requests. */
public final class Priorities {
    /** The most urgent priority. */
    public static final int MOST_URGENT = 0;

    /** The least urgent priority. */
    public static final int LEAST_URGENT = 9;

    /** Number of priorities of routes that are told apart among accounts of equal priority. */
    private static final int ROUTE_LEVELS = 3;

    private Priorities() {}

    /**
     * Ranks a request: accounts are compared first, and requests of accounts with equal priorities
     * by their routes.
     *
     * @param route route of the request
     * @param account account of the caller
     * @return the rank, from 0, the most urgent, to 9
     */
    public static int rank(Route route, Optional<Account> account) {
        return rank(route, account.map(Account::priority).orElse(OptionalInt.empty()));
    }

    private static int rank(Route route, OptionalInt ofAccount) {
        int level = Math.clamp(route.priority(), 0, ROUTE_LEVELS - 1);
        return Math.min(LEAST_URGENT, effective(route, ofAccount) * ROUTE_LEVELS + level);
    }

    /**
     * Returns the priority of a request: its account's, otherwise its route's, within the limits.
     *
     * @param route route of the request
     * @param account account of the caller
     * @return the priority, from 0 to 9
     */
    public static int effective(Route route, Optional<Account> account) {
        return effective(route, account.map(Account::priority).orElse(OptionalInt.empty()));
    }

    private static int effective(Route route, OptionalInt ofAccount) {
        return Math.clamp(ofAccount.orElse(route.priority()), MOST_URGENT, LEAST_URGENT);
    }

    /** Finds the services whose requests may have different priorities. */
    static Set<String> servicesWithSeveral(List<Route> routes, Collection<Account> accounts) {
        Set<OptionalInt> ofAccounts =
                accounts.stream().map(Account::priority).collect(Collectors.toSet());
        Map<String, Set<Integer>> byService =
                routes.stream()
                        .flatMap(r -> r.services().stream().map(s -> Map.entry(s.service(), r)))
                        .collect(
                                Collectors.groupingBy(
                                        Map.Entry::getKey,
                                        Collectors.flatMapping(
                                                e -> possible(e.getValue(), ofAccounts).stream(),
                                                Collectors.toSet())));
        return byService.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Set<Integer> possible(Route route, Set<OptionalInt> ofAccounts) {
        Set<Integer> priorities = new HashSet<>();
        if (ofAccounts.isEmpty() || route.anonymous()) {
            priorities.add(rank(route, OptionalInt.empty()));
        }
        ofAccounts.forEach(priority -> priorities.add(rank(route, priority)));
        return priorities;
    }
}
