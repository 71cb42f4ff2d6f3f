package hyssopturn.relay;

import hyssopturn.chain.EngineChain;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.chain.ZoneLink;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Finds other engines for a running request of a stream whose present ones are suspected to have
 * failed, keep it queued, or are about to shut down.
 *
 * <p>Silence does not show that an engine has failed, so the request stays at its chain, and is
 * sent to another one as well if a retry is allowed and a chain with room was found. The chain that
 * delivers the next event goes on.
 */
final class ChainMoves {
    private final RelayContext context;
    private final StreamCall call;
    private final ChainFinder chainFinder;

    ChainMoves(RelayContext context, StreamCall call, ChainFinder chainFinder) {
        this.context = context;
        this.call = call;
        this.chainFinder = chainFinder;
    }

    private StreamAttempt newest() {
        return call.newest().orElseThrow();
    }

    private EngineChain current() {
        return newest().chain();
    }

    /**
     * Handles an engine that is suspected to have failed, by rerouting the running request if the
     * other engines can continue it, otherwise by another attempt beside it. If neither is
     * possible, the request goes on waiting: an engine that is only silent may continue.
     */
    void replaceSuspected(Endpoint engine, EngineControl engines) {
        call.guarded(
                () -> {
                    call.suspectLoss(engine);
                    Optional<EngineChain> detour = usableDetour(engine);
                    if (detour.isPresent()) {
                        rerouteAround(engine, detour.get(), engines);
                    } else {
                        retryElsewhere("engine stalled", engine);
                    }
                });
    }

    private Optional<EngineChain> usableDetour(Endpoint engine) {
        return call.repeatObstacle().isPresent()
                ? Optional.empty()
                : findDetour(engine).filter(this::mayUseDetour);
    }

    /** Tries another chain as well if one can be used, otherwise only keeps the attempt. */
    private void retryElsewhere(String cause, Endpoint suspect) {
        Optional<StreamAttempt> lost = call.findLost();
        Optional<String> obstacle =
                lost.isPresent() ? call.retryObstacle() : call.replacementObstacle();
        if (obstacle.isPresent()) {
            keepWaiting(cause, suspect, obstacle.get());
            return;
        }
        if (call.twoOpen() && lost.isEmpty()) {
            keepWaiting(cause, suspect, "two attempts open");
            return;
        }
        Optional<EngineChain> other = findReplacement(suspect);
        if (other.isEmpty()) {
            keepWaiting(cause, suspect, "no other chain");
            return;
        }
        if (!reserve(other.get().links())) {
            keepWaiting(cause, suspect, ChainFinder.NO_LINK_TIME);
            return;
        }
        if (call.twoOpen()) {
            lost.ifPresent(call::drop);
        }
        call.tryBeside(other.get(), cause, suspect, lost.isPresent());
    }

    private boolean reserve(List<ZoneLink> links) {
        return chainFinder.reserveZoneLinks(links, InterZoneBudget.Use.NEW);
    }

    private void keepWaiting(String cause, Endpoint suspect, String obstacle) {
        Endpoint first = current().first().engine();
        call.keepAttempt(first, cause, Optional.of(suspect.id()), obstacle);
        newest().eventWait().markNotReplaced(context.clock().nanos());
    }

    /** Finds another chain with room beside the present one, which this request still uses. */
    private Optional<EngineChain> findReplacement(Endpoint suspect) {
        Set<InstanceId> unusable = new HashSet<>(call.excluded);
        unusable.add(suspect.id());
        return call.findChainWithCapacity(unusable)
                .or(() -> call.findChainAgain(Set.of(suspect.id())))
                .or(() -> findBehindSameFirst(unusable));
    }

    /** Finds a chain from the present first engine, if only engines behind it are suspected. */
    private Optional<EngineChain> findBehindSameFirst(Set<InstanceId> unusable) {
        InstanceId first = newest().first().id();
        return chainFinder.findWithCapacity(
                e -> e.id().equals(first) && call.mayAttempt(e), unusable);
    }

    /**
     * Returns whether a detour may be used. If the detour crosses to another zone, the activations
     * of all tokens so far pass the link between the zones, for all streams of the failed engine at
     * once; a chain within one zone is better then.
     */
    private boolean mayUseDetour(EngineChain detour) {
        List<ZoneLink> extra = extraLinks(detour);
        return extra.isEmpty() || (!canContinueInOneZone() && reserve(extra));
    }

    private List<ZoneLink> extraLinks(EngineChain other) {
        List<ZoneLink> extra = new ArrayList<>(other.links());
        current().links().forEach(extra::remove);
        return extra;
    }

    private boolean canContinueInOneZone() {
        return call.mayRetryElsewhere() && findInOneZone(call::mayAttempt).isPresent();
    }

    private Optional<EngineChain> findInOneZone(Predicate<Endpoint> first) {
        return chainFinder.findWithCapacity(first, call.excluded).filter(c -> c.crossings() == 0);
    }

    private void rerouteAround(Endpoint engine, EngineChain detour, EngineControl engines) {
        StreamAttempt attempt = newest();
        long orderedNanos = context.clock().nanos();
        EngineChain previous = attempt.chain();
        reroute(attempt, detour, engines)
                .whenComplete(
                        (done, error) -> {
                            if (call.stale(attempt)) {
                                return;
                            }
                            boolean confirmed = error == null && done;
                            traceReroute(attempt, "engine failed", confirmed);
                            if (!confirmed && attempt.chain().equals(detour)) {
                                handleNotRerouted(attempt, previous, engine, orderedNanos);
                            }
                        });
    }

    /**
     * Handles a reroute that was refused or not confirmed. The engine may still carry it out; until
     * then the previous chain is the one to watch, since the suspected engine is part of it.
     */
    private void handleNotRerouted(
            StreamAttempt attempt, EngineChain previous, Endpoint engine, long orderedNanos) {
        attempt.switchTo(previous);
        boolean newest = newest().equals(attempt);
        if (newest && !attempt.eventWait().deliveredAfter(orderedNanos)) {
            call.guarded(() -> retryElsewhere("not rerouted", engine));
        }
    }

    /**
     * Replaces an engine that is about to shut down but still works, if other engines can take over
     * its layers while the stream continues. Otherwise the chain stays as it is.
     */
    void replaceDeparting(Endpoint engine, EngineControl engines) {
        if (firstPaused()) {
            return;
        }
        if (!call.excluded.add(engine.id())) {
            return;
        }
        Optional<EngineChain> detour = findDetour(engine);
        if (detour.isEmpty() || !extraLinks(detour.get()).isEmpty()) {
            return;
        }
        StreamAttempt attempt = newest();
        EngineChain previous = attempt.chain();
        // an engine that does not answer the order may still carry it out
        reroute(attempt, detour.get(), engines)
                .whenComplete(
                        (done, error) ->
                                handleDepartureReroute(attempt, previous, error == null && !done));
    }

    private void handleDepartureReroute(
            StreamAttempt attempt, EngineChain previous, boolean refused) {
        if (call.stale(attempt)) {
            return;
        }
        traceReroute(attempt, "engine leaves", !refused);
        if (refused) {
            attempt.switchTo(previous);
        }
    }

    /** Returns whether the first engine, which carries out reroute orders, wants none now. */
    private boolean firstPaused() {
        return call.paused(newest().first());
    }

    /** Finds an engine behind the first one that is about to shut down. */
    Optional<Endpoint> findDeparting() {
        return call.newest()
                .filter(a -> a.eventWait().begun())
                .flatMap(a -> chainFinder.findDeparting(a.chain(), call.excluded));
    }

    private Optional<EngineChain> findDetour(Endpoint engine) {
        // an order names the request by its id, which two attempts at one engine share
        if (firstPaused() || call.sharesFirst(newest())) {
            return Optional.empty();
        }
        return chainFinder.findDetour(current(), engine, call.excluded);
    }

    private void traceReroute(StreamAttempt attempt, String cause, boolean done) {
        context.trace()
                .record(
                        new TraceEvent.Rerouted(
                                call.id(), attempt.chain().toString(), cause, done));
    }

    private CompletableFuture<Boolean> reroute(
            StreamAttempt attempt, EngineChain other, EngineControl engines) {
        attempt.switchTo(other);
        Endpoint first = other.first().engine();
        attempt.eventWait().markQueried(context.clock().nanos());
        return engines.reroute(first.address(), first.id(), call.id(), ChainFinder.path(other));
    }

    /**
     * Handles an overdue first event: counts the first engine as full, and tries another chain as
     * well before the caller gives up.
     */
    void handleOverdueFirstEvent(long nowNanos) {
        Optional<StreamAttempt> attempt = call.newest();
        if (attempt.isEmpty() || !attempt.get().eventWait().firstOverdue(nowNanos)) {
            return;
        }
        Endpoint first = attempt.get().first();
        context.load().recordRefusal(first.id(), nowNanos);
        if (attempt.get().eventWait().switchDue(nowNanos)
                && !call.twoOpen()
                && call.mayRetryElsewhere()
                && call.replacementObstacle().isEmpty()) {
            call.guarded(() -> tryBesideQueue(first));
        }
    }

    private void tryBesideQueue(Endpoint first) {
        findInOneZone(e -> call.mayAttempt(e) && !call.openAt(e))
                .ifPresent(
                        other -> {
                            call.avoidFirst(first);
                            call.tryBeside(other, "first event overdue", first, false);
                        });
    }
}
