package hyssopturn.relay;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.Route;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.chain.ZoneChoice;
import hyssopturn.chain.ZonePlan;
import hyssopturn.chain.ZoneState;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Tells how a request would be routed, by the code that routes requests. It works on copies of what
 * that code changes and draws from a source of its own, so nothing is sent or counted.
 */
final class RouteExplainer {
    private static final String NO_ADMISSION = "no admission";
    private static final String START = "start";
    private static final String HOLD = "hold";
    private static final String REFUSE = "refuse";

    private final RelayContext context;
    private final ServiceLoad load;
    private final EndpointOutcomes outcomes;

    RouteExplainer(RelayContext context, ServiceLoad load, EndpointOutcomes outcomes) {
        this.context = context.forDryRun(new SplittableRandom());
        this.load = load;
        this.outcomes = outcomes;
    }

    /** What the request would get, and why not if nothing. */
    private record Outcome(
            String decision, String cause, String chosen, String reach, Set<String> used) {
        static Outcome none(String decision, String cause) {
            return new Outcome(decision, cause, "", "", Set.of());
        }
    }

    RouteExplanation explain(RouteQuery query) throws UnknownRouteException {
        String zone = context.settings().zone();
        if (!query.zone().isEmpty() && !query.zone().equals(zone)) {
            throw new UnknownRouteException(
                    "this node is in zone %s; ask a node of zone %s".formatted(zone, query.zone()));
        }
        Admitted admitted = admit(query);
        Optional<EngineSpec> engine =
                admitted.catalog().service(admitted.service()).flatMap(ServiceSpec::engine);
        return engine.isPresent() ? stream(admitted, engine.get()) : plain(admitted);
    }

    private Admitted admit(RouteQuery query) throws UnknownRouteException {
        Catalog catalog =
                context.routingState()
                        .catalog()
                        .orElseThrow(() -> new UnknownRouteException("no configuration yet"));
        Route route =
                catalog.route(query.host(), query.path())
                        .orElseThrow(
                                () ->
                                        new UnknownRouteException(
                                                "no route for host %s and path %s"
                                                        .formatted(query.host(), query.path())));
        Optional<Account> account = catalog.accountNamed(query.account());
        if (account.isEmpty() && !query.account().isEmpty()) {
            throw new UnknownRouteException("no account " + query.account());
        }
        if (account.isEmpty() && catalog.hasAccounts() && !route.anonymous()) {
            throw new UnknownRouteException("route %s needs an account".formatted(route.name()));
        }
        String service = route.pickService(context.random().nextDouble());
        if (catalog.lacksService(service)) {
            throw new UnknownRouteException("service %s unreadable".formatted(service));
        }
        CallHeaders headers =
                new CallHeaders(
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        query.promptTokens(),
                        query.answerTokens(),
                        OptionalLong.empty(),
                        List.of(),
                        OptionalLong.empty());
        return new Admitted(catalog, route, service, account, headers, RequestBody.empty(), now());
    }

    private RouteExplanation stream(Admitted admitted, EngineSpec spec) {
        ChainFinder finder = new ChainFinder(context, admitted, spec);
        Optional<EngineChain> found =
                finder.findWithCapacity(this::mayAttempt, Set.of())
                        .or(() -> withoutCapacity(finder));
        Outcome outcome;
        if (found.isPresent()) {
            outcome = chosen(finder, found.get());
        } else if (finder.blockedBySilence(this::mayAttempt, Set.of())) {
            outcome = Outcome.none(HOLD, "engines silent");
        } else {
            outcome = Outcome.none(REFUSE, "no chain");
        }
        return explanation(admitted, "stream", zones(finder), outcome);
    }

    /** Finds another chain unless the request would wait for engines that may only be silent. */
    private Optional<EngineChain> withoutCapacity(ChainFinder finder) {
        return finder.blockedBySilence(this::mayAttempt, Set.of())
                ? Optional.empty()
                : finder.findDoubtful(this::mayAttempt, Set.of());
    }

    private Outcome chosen(ChainFinder finder, EngineChain chain) {
        if (!finder.reserveZoneLinks(chain.links(), InterZoneBudget.Use.NEW)) {
            return Outcome.none(REFUSE, ChainFinder.NO_LINK_TIME);
        }
        Set<String> used = new HashSet<>();
        chain.hops().forEach(hop -> used.add(hop.engine().id().value()));
        return new Outcome(
                START, "", chain.toString(), chain.reach(context.settings().zone()), used);
    }

    private List<RouteExplanation.ZoneView> zones(ChainFinder finder) {
        List<RouteExplanation.ZoneView> views = new ArrayList<>();
        finder.zonePlan()
                .ifPresent(
                        plan -> {
                            for (ZoneChoice.Way way : finder.ways(plan)) {
                                if (way.reach() instanceof ZoneChoice.Reach.Zone zone) {
                                    views.add(view(plan, zone.name(), way));
                                }
                            }
                        });
        return views;
    }

    private static RouteExplanation.ZoneView view(ZonePlan plan, String zone, ZoneChoice.Way way) {
        Optional<ZonePlan.Neighbour> other = plan.other(zone);
        ZoneState state = other.map(ZonePlan.Neighbour::state).orElse(plan.own());
        return new RouteExplanation.ZoneView(
                zone,
                state.capacityPerSecond(),
                state.demandPerSecond(),
                state.latePart(),
                state.age().toMillis(),
                other.map(ZonePlan.Neighbour::part).orElse(0.0),
                way.firstMillis(),
                way.cost());
    }

    private RouteExplanation plain(Admitted admitted) {
        EndpointChoice choice =
                new EndpointChoice(context, load, outcomes, admitted, Set.of(), this::mayAttempt);
        Outcome outcome =
                choice.choose()
                        .map(this::chosen)
                        .orElseGet(() -> Outcome.none(REFUSE, "no endpoint"));
        return explanation(admitted, "plain", List.of(), outcome);
    }

    private Outcome chosen(Endpoint endpoint) {
        String own = context.settings().zone();
        String reach = endpoint.zone().equals(own) ? "own zone" : "other zone";
        String id = endpoint.id().value();
        return new Outcome(START, "", id, reach, Set.of(id));
    }

    private RouteExplanation explanation(
            Admitted admitted,
            String type,
            List<RouteExplanation.ZoneView> zones,
            Outcome outcome) {
        Route route = admitted.route();
        boolean refused = outcome.decision.equals(REFUSE);
        return new RouteExplanation(
                context.settings().zone(),
                route.name(),
                admitted.service(),
                type,
                route.priority(),
                route.target().toMillis(),
                zones,
                outcome.decision,
                outcome.cause,
                outcome.chosen,
                outcome.reach,
                NO_ADMISSION,
                passedOver(admitted.service(), outcome.used),
                refused ? context.settings().retryAfter().toMillis() : 0);
    }

    private List<RouteExplanation.PassedOver> passedOver(String service, Set<String> used) {
        long now = now();
        return roster().listed(service).stream()
                .filter(e -> !used.contains(e.id().value()))
                .sorted(Comparator.comparing(Endpoint::id))
                .map(e -> new RouteExplanation.PassedOver(e.id().value(), e.zone(), reason(e, now)))
                .toList();
    }

    private String reason(Endpoint endpoint, long now) {
        if (roster().leavingOrGone(endpoint, now)) {
            return "leaving or gone";
        }
        if (roster().suspected(endpoint, now)) {
            return "suspected";
        }
        if (roster().paused(endpoint, now)) {
            return "paused";
        }
        if (!mayAttempt(endpoint)) {
            return "limit reached";
        }
        if (context.load().recentlyRefused(endpoint.id(), now)) {
            return "refused a request recently";
        }
        if (outcomes.recentlyFailed(endpoint)) {
            return "failed recently";
        }
        return "others preferred";
    }

    private boolean mayAttempt(Endpoint endpoint) {
        return context.limits().closedFor(endpoint).isEmpty();
    }

    private Roster roster() {
        return context.routingState().roster();
    }

    private long now() {
        return context.clock().nanos();
    }
}
