package hyssopturn.relay;

import hyssopturn.admit.Ejection;
import hyssopturn.fleet.Endpoint;
import hyssopturn.trace.TraceEvent;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Ejects endpoints of plain services by the outcomes of this node's attempts; logs and counts each
 * ejection and return. Not thread-safe.
 */
final class EndpointOutcomes {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RelayContext context;
    private final Map<String, Ejection> services = new HashMap<>();

    EndpointOutcomes(RelayContext context) {
        this.context = context;
    }

    private Ejection ejection(Endpoint endpoint) {
        return services.computeIfAbsent(endpoint.service(), name -> new Ejection());
    }

    private static Ejection.Start start(Endpoint endpoint) {
        return new Ejection.Start(endpoint.id(), endpoint.incarnation());
    }

    /** Records that an attempt at an endpoint begins. */
    void begin(Endpoint endpoint) {
        if (!ejection(endpoint).begin(start(endpoint))) {
            updateList(endpoint.service());
            ejection(endpoint).begin(start(endpoint));
        }
    }

    private void updateList(String service) {
        services.get(service)
                .setEndpoints(
                        context.routingState().roster().listed(service).stream()
                                .map(EndpointOutcomes::start)
                                .collect(Collectors.toSet()));
    }

    /** Records how an attempt ended; silence counts only while the event loop is on time. */
    void record(Endpoint endpoint, Ejection.Outcome outcome, long begunNanos) {
        long now = context.clock().nanos();
        switch (outcome) {
            case SUCCESS, REFUSAL, NONE -> apply(endpoint, outcome, begunNanos, now);
            case FAILURE -> {
                updateList(endpoint.service());
                apply(endpoint, outcome, begunNanos, now);
            }
            case SILENCE -> {
                boolean onTime = context.loopLag().onTime(now);
                updateList(endpoint.service());
                apply(endpoint, onTime ? outcome : Ejection.Outcome.NONE, begunNanos, now);
            }
        }
    }

    private void apply(Endpoint endpoint, Ejection.Outcome outcome, long begunNanos, long now) {
        ejection(endpoint)
                .record(start(endpoint), outcome, begunNanos, now)
                .forEach(change -> log(endpoint.service(), change, outcome));
    }

    private void log(String service, Ejection.Change change, Ejection.Outcome outcome) {
        String state = change.ejected() ? "ejected" : "listed";
        context.trace()
                .record(
                        new TraceEvent.EndpointChanged(
                                change.endpoint().id().value(),
                                service,
                                state,
                                "",
                                cause(change, outcome)));
        context.meters()
                .counter(
                        "hyssopturn.endpoint.ejections",
                        "change",
                        change.ejected() ? "ejected" : "returned")
                .increment();
    }

    private static String cause(Ejection.Change change, Ejection.Outcome outcome) {
        if (!change.ejected()) {
            return outcome == Ejection.Outcome.SUCCESS
                    ? "trial requests succeeded"
                    : "others fail as well";
        }
        String reason = outcome == Ejection.Outcome.SILENCE ? "silence" : "failures";
        return reason + ": " + change.length().toMillis() / MILLIS_PER_SECOND + " s";
    }

    /** Returns whether an endpoint may get a request although it may have been ejected. */
    boolean admits(Endpoint endpoint, boolean repeatable) {
        return ejection(endpoint).admits(start(endpoint), repeatable, context.clock().nanos());
    }

    /** Returns whether the last attempt at an endpoint failed a short time ago. */
    boolean recentlyFailed(Endpoint endpoint) {
        return ejection(endpoint).recentlyFailed(start(endpoint), context.clock().nanos());
    }

    /** Draws whether an endpoint is considered for a request: less often if it refuses many. */
    boolean drawForUse(Endpoint endpoint, RandomGenerator random) {
        double share = ejection(endpoint).share(start(endpoint));
        return share >= 1 || random.nextDouble() < share;
    }
}
