package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.Roster;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Liveness;
import hyssopturn.trace.TraceEvent;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks whether endpoints that may have failed accept connections, and updates the roster.
 *
 * <p>A node whose own network or event loop is slow gets no answer from anyone, so silence counts
 * only if another endpoint answered at the same time. Reports of other nodes are checked before
 * they exclude an endpoint for long. A suspected endpoint is checked again until it answers or its
 * entry is removed. This keeps sound engines in use while nodes read large configurations, start
 * under load, or are cut off.
 */
final class EndpointChecks {
    /** Time after which a check that showed nothing may be repeated. */
    static final Duration UNKNOWN_RETRY_DELAY = Duration.ofMillis(100);

    /** Time before a suspected endpoint is checked again; it doubles with each check. */
    static final Duration FIRST_RECHECK_DELAY = Duration.ofMillis(400);

    /** Longest time between checks of a suspected endpoint. */
    static final Duration MAX_RECHECK_DELAY = Duration.ofSeconds(2);

    /**
     * Greatest delay, for each node of the zone, before a reported engine of this node's zone is
     * checked.
     */
    static final Duration REPORT_CHECK_SPREAD = Duration.ofMillis(3);

    /**
     * Greatest delay before a reported engine of another zone is checked; shorter than a report is
     * valid, since this node may use the engine when its own zone is full.
     */
    static final Duration OTHER_ZONE_CHECK_SPREAD = Duration.ofMillis(400);

    private final RelayContext context;
    private final CheckPacing pacing;
    private final Set<InstanceId> confirming = new HashSet<>();
    private final Set<InstanceId> rechecking = new HashSet<>();
    private final Consumer<Endpoint> failureListener;

    /**
     * Creates the checks of a node.
     *
     * @param context dependencies shared by all requests
     * @param failureListener receives each endpoint that a check has shown to have failed
     */
    EndpointChecks(RelayContext context, Consumer<Endpoint> failureListener) {
        this.context = context;
        this.failureListener = failureListener;
        pacing = new CheckPacing(context.load()::nodesPerZone);
    }

    /** Checks an endpoint on which requests wait, unless it was checked a short time ago. */
    void checkPaced(Endpoint endpoint) {
        if (pacing.due(endpoint.id(), context.clock().nanos())) {
            check(endpoint);
        }
    }

    /** Checks an endpoint to which no connection could be made. */
    void check(Endpoint endpoint) {
        probe(endpoint, result -> handle(endpoint, result));
    }

    /** Checks an endpoint whose connections were lost, and passes on what the check shows. */
    void check(Endpoint endpoint, Consumer<Liveness> listener) {
        probe(
                endpoint,
                result -> {
                    handle(endpoint, result);
                    listener.accept(result);
                });
    }

    /**
     * Checks an endpoint that did not answer a query; only a slow network of this node excuses it.
     */
    void checkUnanswered(Endpoint endpoint, Runnable unresponsive) {
        probe(
                endpoint,
                result -> {
                    if (result != Liveness.UNKNOWN) {
                        unresponsive.run();
                    }
                });
    }

    /** Checks the engines that other nodes have reported. */
    void checkReported() {
        for (Endpoint endpoint : roster().reported(context.clock().nanos())) {
            if (confirming.add(endpoint.id())) {
                context.clock().after(reportCheckDelay(endpoint), () -> confirm(endpoint));
            }
        }
    }

    /** Returns a random delay, so that the nodes do not all connect to an engine at once. */
    private Duration reportCheckDelay(Endpoint endpoint) {
        boolean ownZone = endpoint.zone().equals(context.settings().zone());
        double spread =
                ownZone
                        ? REPORT_CHECK_SPREAD.toNanos() * context.load().nodesPerZone()
                        : OTHER_ZONE_CHECK_SPREAD.toNanos();
        return Duration.ofNanos((long) (spread * context.random().nextDouble()));
    }

    private void confirm(Endpoint endpoint) {
        check(endpoint);
        context.clock().after(Roster.REPORT_VALIDITY, () -> confirming.remove(endpoint.id()));
    }

    private void handle(Endpoint endpoint, Liveness result) {
        switch (result) {
            case LISTENS -> clear(endpoint);
            case FAILED -> handleFailure(endpoint);
            case REFUSED -> {
                handleFailure(endpoint);
                roster().suspect(
                                endpoint.id(),
                                endpoint.incarnation(),
                                Evidence.REFUSING,
                                context.clock().nanos());
            }
            case UNKNOWN ->
                    context.clock().after(UNKNOWN_RETRY_DELAY, () -> pacing.forget(endpoint.id()));
        }
    }

    private void handleFailure(Endpoint endpoint) {
        failureListener.accept(endpoint);
        if (rechecking.add(endpoint.id())) {
            recheckAfter(endpoint, FIRST_RECHECK_DELAY);
        }
    }

    private void recheckAfter(Endpoint endpoint, Duration delay) {
        context.clock().after(delay, () -> recheck(endpoint, delay));
    }

    private void recheck(Endpoint endpoint, Duration delay) {
        if (!roster().suspected(endpoint, context.clock().nanos())) {
            rechecking.remove(endpoint.id());
            return;
        }
        Duration doubled = delay.multipliedBy(2);
        Duration next = doubled.compareTo(MAX_RECHECK_DELAY) < 0 ? doubled : MAX_RECHECK_DELAY;
        probe(
                endpoint,
                result -> {
                    if (result == Liveness.LISTENS) {
                        rechecking.remove(endpoint.id());
                        clear(endpoint);
                    } else {
                        recheckAfter(endpoint, next);
                    }
                });
    }

    private void clear(Endpoint endpoint) {
        if (roster().clearSuspicion(endpoint, context.clock().nanos())) {
            context.trace()
                    .record(
                            new TraceEvent.EndpointChanged(
                                    endpoint.id().value(),
                                    endpoint.service(),
                                    "listed",
                                    "",
                                    "accepts connections"));
        }
    }

    /**
     * Probes an endpoint; a failure that a delay of the event loop may explain is unknown, and so
     * is the state of an endpoint that asked for a pause.
     */
    private void probe(Endpoint endpoint, Consumer<Liveness> handler) {
        if (roster().paused(endpoint, context.clock().nanos())) {
            handler.accept(Liveness.UNKNOWN);
            return;
        }
        context.liveness()
                .probe(endpoint.address(), reference(endpoint))
                .thenAccept(
                        result -> {
                            boolean failed =
                                    result == Liveness.FAILED || result == Liveness.REFUSED;
                            boolean doubtful = failed && !onTime();
                            Liveness shown = doubtful ? Liveness.UNKNOWN : result;
                            count(shown);
                            handler.accept(shown);
                        });
    }

    private boolean onTime() {
        return context.loopLag().onTime(context.clock().nanos());
    }

    private void count(Liveness result) {
        context.meters()
                .counter(
                        "hyssopturn.endpoint.checks",
                        "result",
                        result.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    /** Chooses another endpoint at random that is expected to accept connections. */
    private Optional<Address> reference(Endpoint endpoint) {
        List<Endpoint> others =
                roster().usable(endpoint.service(), context.clock().nanos()).stream()
                        .filter(e -> !e.id().equals(endpoint.id()))
                        .toList();
        return others.isEmpty()
                ? Optional.empty()
                : Optional.of(others.get(context.random().nextInt(others.size())).address());
    }

    private Roster roster() {
        return context.routingState().roster();
    }
}
