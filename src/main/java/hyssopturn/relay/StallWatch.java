package hyssopturn.relay;

import hyssopturn.chain.Hop;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Address;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Watches the gaps of streams and finds out which engine a silent one waits for.
 *
 * <p>An engine that dies without a word shows first in the streams that pass it, seconds before its
 * entry lapses. The first engine of a silent chain is asked; if it names an engine, or does not
 * answer itself, every stream that passes the engine at fault goes on at another chain.
 */
final class StallWatch {
    private static final Duration TICK = Duration.ofMillis(20);

    /** Tick while there is no stream to watch; only the node's own lateness is then of interest. */
    private static final Duration IDLE_TICK = Duration.ofMillis(100);

    /** How often engines that are about to leave are looked for while none was found. */
    private static final Duration DEPARTING_INTERVAL = Duration.ofMillis(100);

    private final RelayParts parts;
    private final EngineControl engines;
    private final Set<StreamCall> streams = new LinkedHashSet<>();
    private final CheckPacing checks;
    private long nextDepartingNanos;

    StallWatch(RelayParts parts, EngineControl engines) {
        this.parts = parts;
        this.engines = engines;
        checks = new CheckPacing(parts.load()::nodesPerZone);
    }

    void start() {
        tick();
    }

    void add(StreamCall stream) {
        streams.add(stream);
    }

    void remove(StreamCall stream) {
        streams.remove(stream);
    }

    private void tick() {
        Duration next = streams.isEmpty() ? IDLE_TICK : TICK;
        parts.clock().after(next, this::tick);
        long now = parts.clock().nanos();
        parts.lag().tick(now, next);
        if (parts.lag().steady(now)) {
            look(now);
        }
    }

    private void look(long now) {
        List.copyOf(streams).forEach(stream -> check(stream, now));
        List.copyOf(streams).forEach(stream -> stream.endWait(now));
        Map<Endpoint, List<StreamCall>> quiet = new HashMap<>();
        for (StreamCall stream : streams) {
            if (stream.quiet(now)) {
                stream.asked(now);
                Endpoint first = stream.chain().orElseThrow().first().engine();
                quiet.computeIfAbsent(first, e -> new ArrayList<>()).add(stream);
            }
        }
        quiet.forEach(this::ask);
        if (now >= nextDepartingNanos) {
            moveFromDeparting(now);
        }
    }

    /**
     * Moves a stream at a time, the youngest first: those that are moved must be read again by
     * other engines, where many at once would make the streams there pause.
     */
    private void moveFromDeparting(long now) {
        for (StreamCall stream : List.copyOf(streams).reversed()) {
            Optional<Endpoint> departing = stream.departing();
            if (departing.isPresent()) {
                stream.avoidDeparting(departing.get(), engines);
                return;
            }
        }
        nextDepartingNanos = now + DEPARTING_INTERVAL.toNanos();
    }

    /**
     * Looks after a stream that has been quiet for a moment: if one of its engines is under
     * suspicion it goes on elsewhere, and else all of them are checked for life.
     */
    private void check(StreamCall stream, long now) {
        if (!stream.late(now)) {
            return;
        }
        Optional<Endpoint> suspect = stream.suspect();
        if (suspect.isPresent()) {
            stream.leave(suspect.get(), engines);
            return;
        }
        for (Hop hop : stream.chain().orElseThrow().hops()) {
            if (checks.due(hop.engine().id(), now)) {
                parts.liveness()
                        .listens(hop.engine().address())
                        .thenAccept(listens -> checked(hop.engine(), listens));
            }
        }
    }

    private void checked(Endpoint engine, boolean listens) {
        parts.meters()
                .counter("hyssopturn.engine.checks", "listens", String.valueOf(listens))
                .increment();
        if (listens || !steady()) {
            return;
        }
        List<StreamCall> waiting = streams.stream().filter(s -> s.uses(engine.id())).toList();
        if (blame(engine, waiting, "does not accept connections")) {
            parts.faults().accept(engine);
        }
    }

    private void ask(Endpoint first, List<StreamCall> quiet) {
        engines.stalled(first.address())
                .whenComplete(
                        (waits, error) -> {
                            if (error != null && steady()) {
                                blame(first, quiet, "no report");
                            } else if (error == null) {
                                answered(first, quiet, waits);
                            }
                        });
    }

    private boolean steady() {
        return parts.lag().steady(parts.clock().nanos());
    }

    private void answered(Endpoint first, List<StreamCall> quiet, Map<String, Address> waits) {
        Set<Address> faults = new LinkedHashSet<>();
        for (StreamCall stream : quiet) {
            Optional.ofNullable(waits.get(stream.id())).ifPresent(faults::add);
        }
        for (Address fault : faults) {
            parts.knowledge()
                    .roster()
                    .findByAddress(fault)
                    .ifPresent(
                            e -> {
                                if (blame(e, quiet, "named by " + first.id())) {
                                    parts.faults().accept(e);
                                }
                            });
        }
    }

    /** Moves all streams away from an engine; returns true if it was not suspected before. */
    private boolean blame(Endpoint engine, List<StreamCall> quiet, String cause) {
        List<String> ids = quiet.stream().map(StreamCall::id).toList();
        parts.trace().record(new TraceEvent.Stalled(engine.id().value(), ids, cause));
        long now = parts.clock().nanos();
        boolean fresh = parts.knowledge().roster().suspect(engine.id(), engine.incarnation(), now);
        if (fresh) {
            parts.trace()
                    .record(
                            new TraceEvent.EndpointChanged(
                                    engine.id().value(), engine.service(), "suspect", "", cause));
        }
        for (StreamCall stream : List.copyOf(streams)) {
            if (stream.uses(engine.id())) {
                stream.leave(engine, engines);
            }
        }
        return fresh;
    }
}
