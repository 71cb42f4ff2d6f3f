package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.load.LoadView;
import hyssopturn.load.PriorityLoad;
import hyssopturn.load.ZoneLoad;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulation, in virtual time, of the nodes of three zones that send streams to their own and other
 * zones. A zone serves as many streams at once as its engines have memory for, in the order of
 * their arrival, and refuses those that it can't begin in time, as admission control does. Nodes
 * know their own zone's load as of 200 ms ago.
 */
final class FlowSimulation {
    static final List<String> ZONES = List.of("a", "b", "c");
    static final Duration TARGET = Duration.ofMillis(500);

    private static final String SERVICE = "writers";
    private static final int NODES_PER_ZONE = 4;
    private static final double OWN_AGE_SECONDS = 0.2;
    private static final double SAMPLE_SECONDS = 0.1;
    private static final double WINDOW_SECONDS = 1;
    private static final double NANOS = 1e9;
    private static final double MILLIS = 1_000;

    /** Demand of a zone's clients at a time, in streams per second. */
    @FunctionalInterface
    interface Demand {
        double perSecond(int zone, double seconds);
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final List<Zone> zones = new ArrayList<>();
    private final Map<Integer, List<Double>> parts = new HashMap<>();
    private double now;
    private int asked;
    private int onTime;
    private int left;
    private int toCutOff;
    private double bytes;
    private double boundServed;
    private double boundAsked;
    private double leastBytes;

    /**
     * Settings of a run.
     *
     * @param engines engines of each zone from the start
     * @param lossSeconds time at which zone a loses half of its engines
     * @param demand demand of the clients
     * @param othersAgeSeconds age of what is known of other zones
     * @param slowness time that a stream stays over the time that the nodes expect
     * @param spec sizes and speeds
     * @param cutOff from when on zone c and the others can't reach each other
     * @param seed seed of the random numbers
     */
    record Settings(
            int engines,
            double lossSeconds,
            Demand demand,
            double othersAgeSeconds,
            double slowness,
            EngineSpec spec,
            double cutOff,
            long seed) {}

    private record Sample(double seconds, ZoneLoad load, double usedPart) {}

    private record Stream(double arrived, int client, double tripSeconds) {}

    private record Event(double seconds, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::seconds));

    FlowSimulation(Settings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed);
        for (int zone = 0; zone < ZONES.size(); zone++) {
            zones.add(
                    new Zone(
                            zone, ZoneSimulation.engines(ZONES.get(zone), settings.engines, 0, 0)));
        }
    }

    /** Engines, clients and nodes of a zone. */
    private final class Zone implements LoadView {
        private final int index;
        private final List<ZoneFlows> nodes = new ArrayList<>();
        private final Deque<Stream> queue = new ArrayDeque<>();
        private final Deque<Sample> samples = new ArrayDeque<>();
        private final Deque<double[]> askedAt = new ArrayDeque<>();
        private final Deque<double[]> startedAt = new ArrayDeque<>();
        private List<Endpoint> engines = List.of();
        private ZoneState idle;
        private double slots;
        private int used;
        private int held;

        Zone(int index, List<Endpoint> engines) {
            this.index = index;
            engines(engines);
            for (int i = 0; i < NODES_PER_ZONE; i++) {
                nodes.add(new ZoneFlows());
            }
        }

        String name() {
            return ZONES.get(index);
        }

        void engines(List<Endpoint> usable) {
            engines = usable;
            slots = countSlots();
            idle = idleState();
        }

        /** Returns the streams that fit into the memory of the layer that has the least. */
        private double countSlots() {
            double[] tokens = new double[settings.spec.layers()];
            for (Endpoint engine : engines) {
                int size = engine.layers().orElseThrow().size();
                double fit =
                        settings.spec.tokensThatFit(
                                settings.spec.kind(engine.kind()).orElseThrow(), size);
                for (int i = engine.layers().orElseThrow().from();
                        i < engine.layers().orElseThrow().to();
                        i++) {
                    tokens[i] += fit;
                }
            }
            double mean = settings.spec.meanPromptTokens() + settings.spec.meanAnswerTokens();
            return Arrays.stream(tokens).min().orElse(0) / mean;
        }

        private ZoneState idleState() {
            LoadView nobody =
                    new LoadView() {
                        @Override
                        public Optional<ZoneLoad> zone(String service, String zone) {
                            return Optional.of(load(0, 0, 0, 0));
                        }

                        @Override
                        public OptionalDouble usedTokens(InstanceId engine) {
                            return OptionalDouble.empty();
                        }
                    };
            return new ZoneStates(settings.spec).known(SERVICE, name(), engines, nobody).getFirst();
        }

        double staySeconds() {
            return slots / idle.capacityPerSecond() * settings.slowness;
        }

        double capacity() {
            return idle.capacityPerSecond() / settings.slowness;
        }

        private ZoneLoad load(double perSecond, double started, double waiting, double late) {
            PriorityLoad one = new PriorityLoad(0, perSecond, started, waiting, late);
            return new ZoneLoad(name(), NODES_PER_ZONE, List.of(one), Duration.ofMillis(200));
        }

        void sample() {
            trim(askedAt);
            trim(startedAt);
            double late = startedAt.stream().mapToDouble(s -> s[1]).sum();
            ZoneLoad load =
                    load(
                            askedAt.size() / WINDOW_SECONDS,
                            startedAt.size() / WINDOW_SECONDS,
                            held,
                            startedAt.isEmpty() ? 0 : late / startedAt.size());
            samples.addLast(new Sample(now, load, used / Math.max(1, slots)));
            while (samples.size() > 1 + (3 + settings.othersAgeSeconds) / SAMPLE_SECONDS) {
                samples.removeFirst();
            }
        }

        private void trim(Deque<double[]> times) {
            while (!times.isEmpty() && times.peekFirst()[0] < now - WINDOW_SECONDS) {
                times.removeFirst();
            }
        }

        Optional<Sample> asOf(double seconds) {
            Optional<Sample> found = Optional.empty();
            for (Sample sample : samples) {
                if (sample.seconds <= seconds) {
                    found = Optional.of(sample);
                }
            }
            return found;
        }

        private Optional<Sample> seen(Zone other) {
            double age = other == this ? OWN_AGE_SECONDS : settings.othersAgeSeconds;
            // what is known before the cut expires 3 s after it
            boolean expired = now > settings.cutOff + 3 && cut(index, other.index);
            return expired ? Optional.empty() : other.asOf(now - age);
        }

        @Override
        public Optional<ZoneLoad> zone(String service, String zone) {
            Zone other = zones.get(ZONES.indexOf(zone));
            double age = other == this ? OWN_AGE_SECONDS : settings.othersAgeSeconds;
            return seen(other)
                    .map(
                            s ->
                                    new ZoneLoad(
                                            zone,
                                            NODES_PER_ZONE,
                                            s.load.priorities(),
                                            Duration.ofMillis((long) (age * MILLIS))));
        }

        @Override
        public OptionalDouble usedTokens(InstanceId id) {
            for (Zone other : zones) {
                for (Endpoint engine : other.engines) {
                    if (engine.id().equals(id)) {
                        Optional<Sample> seen = seen(other);
                        return seen.isEmpty()
                                ? OptionalDouble.empty()
                                : OptionalDouble.of(seen.get().usedPart * tokens(engine));
                    }
                }
            }
            return OptionalDouble.empty();
        }

        private double tokens(Endpoint engine) {
            int size = engine.layers().orElseThrow().size();
            return size
                    * settings.spec.tokensThatFit(
                            settings.spec.kind(engine.kind()).orElseThrow(), size);
        }

        /** Accepts a stream, or refuses it if it would begin too late. */
        void accept(Stream stream) {
            double wait = Math.max(0, queue.size() + used + 1 - slots) / capacity();
            if (stream.tripSeconds + wait + idle.firstMillis() / MILLIS
                    > TARGET.toMillis() / MILLIS) {
                return;
            }
            queue.add(stream);
            zones.get(stream.client).held++;
            startWaiting();
        }

        void startWaiting() {
            while (!queue.isEmpty() && used + 1 <= slots) {
                Stream stream = queue.poll();
                zones.get(stream.client).held--;
                used++;
                double first =
                        now - stream.arrived + idle.firstMillis() / MILLIS + stream.tripSeconds;
                boolean late = first > TARGET.toMillis() / MILLIS;
                onTime += late ? 0 : 1;
                zones.get(stream.client).startedAt.add(new double[] {now, late ? 1 : 0});
                double stay = staySeconds() * (0.5 + random.nextDouble());
                events.add(
                        new Event(
                                now + stay,
                                () -> {
                                    used--;
                                    startWaiting();
                                }));
            }
        }
    }

    private boolean cut(int one, int other) {
        return now >= settings.cutOff && one != other && (one == 2 || other == 2);
    }

    private void arrive(Zone zone) {
        asked++;
        zone.askedAt.add(new double[] {now});
        ZoneFlows node = zone.nodes.get(random.nextInt(NODES_PER_ZONE));
        ChainSearch.Size size =
                new ChainSearch.Size(
                        (long) settings.spec.meanPromptTokens(),
                        (long) settings.spec.meanAnswerTokens());
        List<Endpoint> engines = zones.stream().flatMap(z -> z.engines.stream()).toList();
        Optional<ZonePlan> plan =
                node.plan(
                        SERVICE,
                        zone.name(),
                        () ->
                                new ZoneStates(settings.spec)
                                        .known(SERVICE, zone.name(), engines, zone),
                        (long) (now * NANOS),
                        (service, to, part) -> {});
        String reached =
                plan.map(
                                p ->
                                        new ZoneChoice(
                                                        settings.spec,
                                                        p,
                                                        new ZoneChoice.Request(size, TARGET, 0))
                                                .order(random.nextDouble())
                                                .getFirst()
                                                .reach())
                        .map(r -> ((ZoneChoice.Reach.Zone) r).name())
                        .orElse(zone.name());
        Zone target = zones.get(ZONES.indexOf(reached));
        boolean leaves = target != zone;
        if (leaves) {
            left++;
            bytes += ZoneChoice.bytes(size, 0, settings.spec);
        }
        if (cut(zone.index, target.index)) {
            toCutOff++;
            return;
        }
        target.accept(new Stream(now, zone.index, leaves ? 0.002 : 0));
    }

    private void scheduleArrival(Zone zone, double from) {
        double most = 2 * zones.getFirst().capacity() + 400;
        double next = from - Math.log(1 - random.nextDouble()) / most;
        events.add(
                new Event(
                        next,
                        () -> {
                            double rate = settings.demand.perSecond(zone.index, now);
                            if (random.nextDouble() < rate / most) {
                                arrive(zone);
                            }
                            scheduleArrival(zone, now);
                        }));
    }

    private void scheduleSample(double at) {
        events.add(
                new Event(
                        at,
                        () -> {
                            zones.forEach(Zone::sample);
                            recordParts();
                            addToBounds();
                            scheduleSample(at + SAMPLE_SECONDS);
                        }));
    }

    private void recordParts() {
        for (Zone from : zones) {
            Optional<ZonePlan> plan = from.nodes.getFirst().inForce(SERVICE);
            for (Zone to : zones) {
                double part =
                        plan.flatMap(p -> p.other(to.name()))
                                .map(ZonePlan.Neighbour::part)
                                .orElse(0.0);
                parts.computeIfAbsent(3 * from.index + to.index, k -> new ArrayList<>()).add(part);
            }
        }
    }

    /** Adds what zones that know everything at once could serve, and the least they would send. */
    private void addToBounds() {
        double demand = 0;
        double served = 0;
        double excess = 0;
        double room = 0;
        for (Zone zone : zones) {
            double wanted = settings.demand.perSecond(zone.index, now);
            demand += wanted;
            served += Math.min(wanted, zone.capacity());
            if (zone.index != 2 || !cut(2, 0)) {
                excess += Math.max(0, wanted - zone.capacity());
                room += Math.max(0, zone.capacity() - wanted);
            }
        }
        double sent = Math.min(excess, room);
        boundAsked += demand * SAMPLE_SECONDS;
        boundServed += (served + sent) * SAMPLE_SECONDS;
        ChainSearch.Size size =
                new ChainSearch.Size(
                        (long) settings.spec.meanPromptTokens(),
                        (long) settings.spec.meanAnswerTokens());
        leastBytes += sent * SAMPLE_SECONDS * ZoneChoice.bytes(size, 0, settings.spec);
    }

    FlowSimulation play(double seconds) {
        zones.forEach(zone -> scheduleArrival(zone, 0));
        scheduleSample(0);
        events.add(new Event(settings.lossSeconds, this::loseEngines));
        while (!events.isEmpty() && events.peek().seconds <= seconds) {
            Event event = events.poll();
            now = event.seconds;
            event.action.run();
        }
        return this;
    }

    private void loseEngines() {
        Zone zone = zones.getFirst();
        zone.engines(ZoneSimulation.engines("a", settings.engines / 2, 0, 0));
    }

    double capacity() {
        return zones.getLast().capacity();
    }

    double shareOnTime() {
        return (double) onTime / asked;
    }

    double boundOnTime() {
        return boundServed / boundAsked;
    }

    double bytes() {
        return bytes;
    }

    double leastBytes() {
        return leastBytes;
    }

    int left() {
        return left;
    }

    int toCutOff() {
        return toCutOff;
    }

    /** Counts the turns of the parts that differ by more than two steps, of the worst pair. */
    int turns() {
        return parts.values().stream().mapToInt(FlowSimulation::turns).max().orElse(0);
    }

    private static int turns(List<Double> values) {
        double least = 2 * ZoneFlows.MAX_STEP;
        int turns = 0;
        int direction = 0;
        double extreme = values.getFirst();
        for (double value : values) {
            if ((direction >= 0 && value > extreme) || (direction <= 0 && value < extreme)) {
                if (direction == 0 && Math.abs(value - extreme) <= least) {
                    continue;
                }
                direction = value > extreme ? 1 : -1;
                extreme = value;
            } else if (direction != 0 && Math.abs(value - extreme) > least) {
                turns++;
                direction = -direction;
                extreme = value;
            }
        }
        return turns;
    }

    @Override
    public String toString() {
        return "on time %.3f bound %.3f bytes/least %.3f left %d turns %d capacity %.1f"
                .formatted(
                        shareOnTime(),
                        boundOnTime(),
                        bytes / Math.max(1, leastBytes),
                        left,
                        turns(),
                        capacity());
    }
}
