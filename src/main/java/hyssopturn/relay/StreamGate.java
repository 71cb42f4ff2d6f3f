package hyssopturn.relay;

import hyssopturn.admit.DecayingSum;
import hyssopturn.catalog.Account;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.load.PriorityLoad;
import hyssopturn.load.ZoneLoad;
import hyssopturn.overload.Decision;
import hyssopturn.overload.Room;
import hyssopturn.overload.StreamAdmission;
import hyssopturn.overload.Ticket;
import hyssopturn.trace.TraceEvent;

import io.micrometer.core.instrument.Tag;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Applies admission control to the streams of a node: holds new streams while engines have no room,
 * starts them in turn and refuses those whose turn comes too late. Streams that begun, or continue
 * an answer, are only counted.
 */
final class StreamGate {
    /** Number of held streams that are started in one tick. */
    private static final int MAX_STARTS = 8;

    /** Age up to which the engines' memory is not computed again. */
    private static final Duration ROOM_AGE = Duration.ofMillis(50);

    /** Target of streams whose route has none. */
    private static final Duration DEFAULT_TARGET = Duration.ofSeconds(1);

    /** Half-life of the count of streams that this node's clients ask for. */
    private static final Duration ASKED_HALF_LIFE = Duration.ofSeconds(2);

    private static final double NANOS_PER_SECOND = 1e9;

    private final RelayContext context;
    private final Map<String, Service> services = new HashMap<>();

    StreamGate(RelayContext context) {
        this.context = context;
        context.meters().gauge("hyssopturn.admission.held", this, StreamGate::heldCount);
    }

    /** Admission control of one service, and what is known of its engines. */
    private final class Service {
        private final String name;
        private final StreamAdmission admission = new StreamAdmission(context.random());
        private final DecayingSum asked = new DecayingSum(ASKED_HALF_LIFE.toNanos());
        private final Map<Ticket, StreamCall> waiting = new LinkedHashMap<>();
        private EngineSpec spec;
        private Room known;
        private double ownThen;
        private long knownNanos;

        Service(String name, EngineSpec spec) {
            this.name = name;
            this.spec = spec;
            context.meters()
                    .gauge(
                            "hyssopturn.admission.used.part",
                            List.of(Tag.of("service", name)),
                            this,
                            s -> s.known == null ? 0 : s.known.used() / Math.max(1, s.limit()));
            context.meters()
                    .gauge(
                            "hyssopturn.admission.limit.tokens",
                            List.of(Tag.of("service", name)),
                            this,
                            Service::limit);
        }

        private double limit() {
            return known == null ? 0 : admission.limit(known);
        }

        Room room(long now) {
            if (known == null || now - knownNanos > ROOM_AGE.toNanos()) {
                known = measure(now);
                knownNanos = now;
                ownThen = admission.ownTokens();
            }
            double used =
                    known.shared()
                            ? known.used() + admission.ownTokens() - ownThen
                            : admission.ownTokens() * known.nodes();
            return new Room(
                    known.capacity(), used, known.nodes(), known.shared(), known.ageNanos());
        }

        /** Streams may be sent to any zone, so that the engines of all zones count. */
        private Room measure(long now) {
            List<Endpoint> engines = context.routingState().roster().usable(name, now);
            Set<String> zones =
                    Stream.concat(
                                    engines.stream().map(Endpoint::zone),
                                    Stream.of(context.settings().zone()))
                            .collect(Collectors.toSet());
            List<ZoneLoad> loads =
                    zones.stream().flatMap(z -> context.loads().zone(name, z).stream()).toList();
            return Room.thinnest(
                    spec,
                    engines,
                    context.loads(),
                    admission.ownTokens(),
                    loads.size() == zones.size()
                            ? nodes(loads, now)
                            : context.load().nodesPerZone() * zones.size(),
                    loads.stream().mapToLong(l -> l.age().toNanos()).max().orElse(0));
        }

        /**
         * Returns the number of nodes of which this one is, by the streams that clients ask for.
         */
        private double nodes(List<ZoneLoad> loads, long now) {
            int nodes = loads.stream().mapToInt(ZoneLoad::nodes).sum();
            double all =
                    loads.stream()
                            .flatMap(l -> l.priorities().stream())
                            .mapToDouble(PriorityLoad::askedPerSecond)
                            .sum();
            double seconds = ASKED_HALF_LIFE.toNanos() / NANOS_PER_SECOND / Math.log(2);
            double own = asked.value(now) / seconds;
            return own <= 0 ? nodes : Math.clamp(all / own, 1, Math.max(1, nodes));
        }
    }

    /** Creates the ticket of a stream. */
    static Ticket ticket(Admitted admitted, long tokens) {
        Duration target = admitted.route().target();
        return new Ticket(
                admitted.account().map(Account::name).orElse(""),
                admitted.priority(),
                tokens,
                admitted.arrivedNanos(),
                (target.isPositive() ? target : DEFAULT_TARGET).toNanos());
    }

    private Service service(StreamCall call) {
        Service service =
                services.computeIfAbsent(call.service(), name -> new Service(name, call.spec()));
        service.spec = call.spec();
        return service;
    }

    /** Asks for the start of a new stream; returns false if it is held or was refused. */
    boolean admit(StreamCall call) {
        if (!context.settings().admission() || !call.needsAdmission()) {
            return true;
        }
        long now = now();
        Service service = service(call);
        service.asked.add(1, now);
        Room room = service.room(now);
        return switch (service.admission.arrive(call.ticket(), room, now)) {
            case Decision.Start start -> true;
            case Decision.Hold hold -> {
                wait(service, call);
                yield false;
            }
            case Decision.Refuse refuse -> {
                refuse(service, call, refuse.cause());
                yield false;
            }
        };
    }

    /**
     * Holds a new stream for which no engines with room were found while streams compete for it;
     * returns false if they do not. Engines that refused lately would only be overfilled.
     */
    boolean holdWithoutChain(StreamCall call) {
        Service service = service(call);
        if (!context.settings().admission()
                || !call.needsAdmission()
                || !service.admission.constrained()) {
            return false;
        }
        service.admission.postpone(call.ticket(), now());
        wait(service, call);
        return true;
    }

    private void wait(Service service, StreamCall call) {
        if (service.waiting.putIfAbsent(call.ticket(), call) == null) {
            trace(service, call, "held", "");
        }
    }

    private void refuse(Service service, StreamCall call, String cause) {
        service.waiting.remove(call.ticket());
        trace(service, call, "refused", cause);
        String priority = String.valueOf(call.admitted.priority());
        context.meters()
                .counter("hyssopturn.admission.refused", "priority", priority, "cause", cause)
                .increment();
        call.guarded(() -> call.giveUp(cause));
    }

    private void trace(Service service, StreamCall call, String decision, String cause) {
        long now = now();
        Room room = service.room(now);
        context.trace()
                .record(
                        new TraceEvent.AdmissionDecided(
                                call.id(),
                                decision,
                                cause,
                                call.admitted.priority(),
                                call.tokens(),
                                service.admission.heldCount(),
                                Math.round(room.used()),
                                Math.round(service.admission.limit(room)),
                                room.shared(),
                                Duration.ofNanos(room.ageNanos()).toMillis(),
                                Duration.ofNanos(now - call.admitted.arrivedNanos()).toMillis()));
    }

    /** Records that an attempt of a stream is started. */
    void started(StreamCall call) {
        Service service = service(call);
        service.admission.started(call.ticket(), now());
        if (service.waiting.remove(call.ticket()) != null) {
            trace(service, call, "started", "");
        }
    }

    /** Records that a stream got its first event. */
    void begun(StreamCall call) {
        Service service = service(call);
        long now = now();
        service.admission.begun(call.ticket(), service.room(now), now);
    }

    /** Records that an engine refused a stream. */
    void refusedByEngine(StreamCall call) {
        Service service = service(call);
        long now = now();
        service.admission.refusedByEngine(call.ticket(), service.room(now), now);
    }

    /** Records that a stream ended. */
    void ended(StreamCall call) {
        Service service = service(call);
        service.admission.ended(call.ticket());
        service.waiting.remove(call.ticket());
    }

    /** Returns when a caller that is refused for lack of room should return, if that is known. */
    Optional<Duration> retryAfter(StreamCall call) {
        return context.settings().admission()
                ? service(call).admission.retryAfter(call.ticket(), call.timeToAnswer(), now())
                : Optional.empty();
    }

    /** Returns whether streams are held or wait for their first event. */
    boolean active() {
        return services.values().stream().anyMatch(s -> s.admission.active());
    }

    /** Starts the streams whose turn it is, and refuses those whose turn comes too late. */
    void tick(long now) {
        for (Service service : services.values()) {
            if (service.admission.active()) {
                service.admission.observe(service.room(now), now);
                startNext(service, now);
                service.admission.overdue(now).forEach(t -> refuseOverdue(service, t));
            }
        }
    }

    private void refuseOverdue(Service service, Ticket ticket) {
        Optional.ofNullable(service.waiting.get(ticket))
                .ifPresent(call -> refuse(service, call, StreamAdmission.TOO_LATE));
    }

    private void startNext(Service service, long now) {
        for (int i = 0; i < MAX_STARTS; i++) {
            Optional<Ticket> next = service.admission.next(service.room(now), now);
            if (next.isEmpty()) {
                return;
            }
            StreamCall call = service.waiting.get(next.get());
            call.guarded(call::startHeld);
            if (call.needsAdmission() && !call.ended()) {
                service.admission.postpone(next.get(), now);
            }
        }
    }

    private int heldCount() {
        return services.values().stream().mapToInt(s -> s.admission.heldCount()).sum();
    }

    private long now() {
        return context.clock().nanos();
    }
}
