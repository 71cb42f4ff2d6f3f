package hyssopturn.relay;

import hyssopturn.chain.Hop;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.model.Address;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detects stalled streams and finds the engine that each of them waits for.
 *
 * <p>The crash of an engine stalls the streams that use it seconds before the engine's registration
 * expires. The first engine of a stalled chain is queried; if it reports the engine that it waits
 * for, or does not answer itself, the streams that use that engine are tried on another chain.
 */
final class StallDetector {
    private static final Duration TICK = Duration.ofMillis(20);

    /** Tick while there are no streams; it then serves only to detect event loop delays. */
    private static final Duration IDLE_TICK = Duration.ofMillis(100);

    /** Interval of searches for engines that are about to shut down, after none was found. */
    private static final Duration DEPARTING_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Number of streams for which another chain is searched for in one tick. */
    private static final int MAX_SEARCHES = 4;

    private final RelayContext context;
    private final EngineControl engines;
    private final Set<StreamCall> streams = new LinkedHashSet<>();
    private final EndpointChecks checks;
    private final CrashWatch crashes;
    private final RetryQueue retryQueue = new RetryQueue();
    private final StreamGate gate;
    private long nextDepartingCheckNanos;
    private int searches;

    StallDetector(RelayContext context, EngineControl engines) {
        this.context = context;
        this.engines = engines;
        checks = new EndpointChecks(context, this::handleUnreachable);
        gate = new StreamGate(context);
        crashes = new CrashWatch(context, checks::check);
    }

    void start() {
        tick();
    }

    EndpointChecks checks() {
        return checks;
    }

    RetryQueue retryQueue() {
        return retryQueue;
    }

    StreamGate gate() {
        return gate;
    }

    CrashWatch crashes() {
        return crashes;
    }

    void add(StreamCall stream) {
        streams.add(stream);
    }

    void remove(StreamCall stream) {
        streams.remove(stream);
    }

    private boolean idle() {
        return streams.isEmpty() && retryQueue.isEmpty() && !gate.active();
    }

    private void tick() {
        Duration interval = idle() ? IDLE_TICK : TICK;
        context.clock().after(interval, this::tick);
        long now = context.clock().nanos();
        context.loopLag()
                .tick(now, interval)
                .ifPresent(
                        late ->
                                context.trace()
                                        .record(new TraceEvent.LoopDelayed(late.toMillis())));
        retryQueue.tick(now);
        gate.tick(now);
        if (context.loopLag().onTime(now)) {
            checks.checkReported();
            crashes.tick(now);
            checkStreams(now);
        }
    }

    private void checkStreams(long now) {
        searches = 0;
        inOrderOfLeaving().forEach(stream -> checkEngines(stream, now));
        List.copyOf(streams).forEach(stream -> stream.moves().handleOverdueFirstEvent(now));
        Map<Endpoint, List<StreamCall>> waiting = new HashMap<>();
        for (StreamCall stream : streams) {
            stream.newest()
                    .filter(a -> a.eventWait().queryDue(now))
                    .ifPresent(
                            a -> {
                                a.eventWait().markQueried(now);
                                waiting.computeIfAbsent(a.first(), e -> new ArrayList<>())
                                        .add(stream);
                            });
        }
        waiting.forEach(this::queryStall);
        if (now >= nextDepartingCheckNanos) {
            replaceDeparting(now);
        }
    }

    /**
     * Replaces a departing engine in one stream, the youngest one. The replacement must process the
     * whole sequence of the stream again, and many streams at once would delay the streams that it
     * already runs.
     */
    private void replaceDeparting(long now) {
        for (StreamCall stream : List.copyOf(streams).reversed()) {
            Optional<Endpoint> departing = stream.moves().findDeparting();
            if (departing.isPresent()) {
                stream.moves().replaceDeparting(departing.get(), engines);
                return;
            }
        }
        nextDepartingCheckNanos = now + DEPARTING_CHECK_INTERVAL.toNanos();
    }

    /** Lists the streams, those first whose callers would probably leave first. */
    private List<StreamCall> inOrderOfLeaving() {
        return streams.stream()
                .sorted(Comparator.comparingLong(StreamCall::lastDeliveryNanos))
                .toList();
    }

    /**
     * Handles a stream whose next event is late: tries another chain if an engine is already
     * suspected to have failed, otherwise checks the liveness of its other engines.
     */
    private void checkEngines(StreamCall stream, long now) {
        Optional<StreamAttempt> attempt = stream.newest().filter(a -> a.eventWait().checkDue(now));
        if (attempt.isEmpty()) {
            return;
        }
        Optional<Endpoint> suspect = findSuspect(attempt.get(), now);
        if (suspect.isPresent() && replaceSuspected(stream, suspect.get(), now)) {
            return;
        }
        attempt.get().chain().hops().stream()
                .map(Hop::engine)
                .filter(e -> !context.routingState().roster().suspected(e, now))
                .forEach(checks::checkPaced);
    }

    /** Finds an engine of an attempt's chain that is suspected to have failed. */
    private Optional<Endpoint> findSuspect(StreamAttempt attempt, long now) {
        return attempt.chain().hops().stream()
                .map(Hop::engine)
                .filter(e -> context.routingState().roster().suspected(e, now))
                .findFirst();
    }

    /**
     * Tries another chain for a stream if that is due. In each tick this is done for a few streams
     * only: the answers to the first ones tell whether other engines have room.
     */
    private boolean replaceSuspected(StreamCall stream, Endpoint suspect, long now) {
        boolean due = stream.newest().filter(a -> a.eventWait().searchDue(now)).isPresent();
        if (!due || searches >= MAX_SEARCHES) {
            return false;
        }
        searches++;
        stream.moves().replaceSuspected(suspect, engines);
        return true;
    }

    /** Ends suspicions against the engines of an attempt that was late and delivers events. */
    void recordEvents(StreamAttempt attempt) {
        long now = context.clock().nanos();
        if (!attempt.eventWait().checkDue(now)) {
            return;
        }
        attempt.chain().hops().stream().map(Hop::engine).forEach(e -> clearSuspicion(e, now));
    }

    private void clearSuspicion(Endpoint engine, long now) {
        if (context.routingState().roster().recordWork(engine, now)) {
            context.trace()
                    .record(
                            new TraceEvent.EndpointChanged(
                                    engine.id().value(),
                                    engine.service(),
                                    "listed",
                                    "",
                                    "delivers events"));
        }
    }

    private void handleUnreachable(Endpoint endpoint) {
        List<StreamCall> waiting = streams.stream().filter(s -> uses(s, endpoint)).toList();
        if (markSuspected(endpoint, Evidence.UNREACHABLE, waiting, "does not accept connections")) {
            context.faultReports().accept(endpoint);
        }
        crashes.recordGone(endpoint);
    }

    private static boolean uses(StreamCall stream, Endpoint engine) {
        return stream.newest().filter(a -> a.chain().uses(engine.id())).isPresent();
    }

    private void queryStall(Endpoint first, List<StreamCall> waiting) {
        if (paused(first)) {
            return;
        }
        engines.stalled(first.address())
                .whenComplete(
                        (waitsFor, error) -> {
                            if (error == null) {
                                handleStallReport(first, waiting, waitsFor);
                            } else {
                                checks.checkUnanswered(
                                        first, () -> markUnresponsive(first, waiting, "no report"));
                            }
                        });
    }

    private boolean paused(Endpoint engine) {
        return context.routingState().roster().paused(engine, context.clock().nanos());
    }

    private boolean markUnresponsive(Endpoint engine, List<StreamCall> waiting, String cause) {
        return markSuspected(engine, Evidence.UNRESPONSIVE, waiting, cause);
    }

    private void handleStallReport(
            Endpoint first, List<StreamCall> waiting, Map<String, Address> waitsFor) {
        Set<Endpoint> failedEngines = new LinkedHashSet<>();
        for (StreamCall stream : waiting) {
            Optional.ofNullable(waitsFor.get(stream.id()))
                    .flatMap(context.routingState().roster()::findByAddress)
                    .filter(e -> !gaveUpLayers(e, stream))
                    .ifPresent(failedEngines::add);
        }
        for (Endpoint failedEngine : failedEngines) {
            if (markUnresponsive(failedEngine, waiting, "named by " + first.id())) {
                context.faultReports().accept(failedEngine);
            }
        }
    }

    /** Returns whether an engine does not hold any more what a stream uses there; it is sound. */
    private static boolean gaveUpLayers(Endpoint engine, StreamCall stream) {
        return stream.newest().stream()
                .flatMap(attempt -> attempt.chain().hops().stream())
                .filter(hop -> hop.engine().id().equals(engine.id()))
                .anyMatch(hop -> engine.layers().filter(l -> l.contains(hop.range())).isEmpty());
    }

    /**
     * Marks an engine as suspected and tries other chains for streams that use it; returns true if
     * it was not suspected before.
     */
    private boolean markSuspected(
            Endpoint engine, Evidence evidence, List<StreamCall> waiting, String cause) {
        List<String> requestIds = waiting.stream().map(StreamCall::id).toList();
        context.trace().record(new TraceEvent.Stalled(engine.id().value(), requestIds, cause));
        long now = context.clock().nanos();
        boolean newlySuspected =
                context.routingState()
                        .roster()
                        .suspect(engine.id(), engine.incarnation(), evidence, now);
        if (newlySuspected) {
            context.trace()
                    .record(
                            new TraceEvent.EndpointChanged(
                                    engine.id().value(), engine.service(), "suspect", "", cause));
        }
        inOrderOfLeaving().stream()
                .filter(stream -> uses(stream, engine))
                .forEach(stream -> replaceSuspected(stream, engine, now));
        return newlySuspected;
    }
}
