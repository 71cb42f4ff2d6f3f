package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Chooses the endpoint of a plain service for one request. */
final class EndpointChoice {
    private final RelayContext context;
    private final ServiceLoad load;
    private final EndpointOutcomes outcomes;
    private final String service;
    private final boolean repeatable;
    private final Set<InstanceId> excluded;
    private final Predicate<Endpoint> mayAttempt;

    /** Creates a choice; the set of excluded endpoints is read at each choice. */
    EndpointChoice(
            RelayContext context,
            ServiceLoad load,
            EndpointOutcomes outcomes,
            Admitted admitted,
            Set<InstanceId> excluded,
            Predicate<Endpoint> mayAttempt) {
        this.context = context;
        this.load = load;
        this.outcomes = outcomes;
        service = admitted.service();
        repeatable = admitted.route().retryPolicy().allowsRetry();
        this.excluded = excluded;
        this.mayAttempt = mayAttempt;
    }

    /**
     * Chooses the endpoint with the fewest requests of this node, preferably one that has not
     * failed lately and is in this node's own zone. One whose pause has just ended, or that refuses
     * more than others, is considered for part of the requests, and one that was ejected only for
     * trials. If there is no other, it may be an ejected one, one that only other nodes suspect, or
     * one that announced its shutdown a short time ago.
     */
    Optional<Endpoint> choose() {
        Roster roster = context.routingState().roster();
        Duration shutdownPeriod = context.settings().shutdownPeriod();
        return leastLoaded(admittedCandidates().filter(this::drawForUse))
                .or(() -> leastLoaded(admittedCandidates()))
                .or(() -> leastLoaded(candidates()))
                .or(() -> leastLoaded(allowed(roster.usableOrReported(service, now()))))
                .or(
                        () ->
                                leastLoaded(
                                        allowed(
                                                roster.shuttingDown(
                                                        service, shutdownPeriod, now()))));
    }

    private Optional<Endpoint> leastLoaded(Stream<Endpoint> endpoints) {
        return endpoints.min(
                Comparator.comparingInt((Endpoint e) -> load.requestsAt(e.id()))
                        .thenComparing(outcomes::recentlyFailed)
                        .thenComparing(e -> !e.zone().equals(context.settings().zone()))
                        .thenComparing(Endpoint::id));
    }

    private boolean drawForUse(Endpoint endpoint) {
        return context.drawForUse(endpoint) && outcomes.drawForUse(endpoint, context.random());
    }

    private Stream<Endpoint> admittedCandidates() {
        return candidates().filter(e -> outcomes.admits(e, repeatable));
    }

    /** Returns the usable endpoints that the request may be sent to. */
    Stream<Endpoint> candidates() {
        return allowed(context.routingState().roster().usable(service, now()));
    }

    private Stream<Endpoint> allowed(List<Endpoint> endpoints) {
        return endpoints.stream().filter(e -> !excluded.contains(e.id()) && mayAttempt.test(e));
    }

    private long now() {
        return context.clock().nanos();
    }
}
