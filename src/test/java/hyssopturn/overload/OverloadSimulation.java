package hyssopturn.overload;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Nodes and engines in virtual time. An engine holds a stream's tokens until the stream ends; when
 * its memory is full, streams wait there, the most urgent first.
 */
final class OverloadSimulation {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int ENGINES = 8;
    private static final long PATIENCE = 2 * SECOND;
    private static final long TICK = 20 * MILLI;

    /** Interval at which nodes learn of the load of all nodes, 200 ms late. */
    private static final int VIEW_TICKS = 12;

    private static final int VIEW_LAG = 200;

    final SplittableRandom random;
    final List<Stream> streams = new ArrayList<>();
    private final Map<Ticket, Stream> byTicket = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Engine> engines;
    private final List<StreamAdmission> nodes;
    private final double[] weights;
    private final double engineTokens;
    private final boolean shared;
    private final boolean controlled;
    private double knownUse;
    private long now;
    private long number;

    private record Event(long at, long number, Runnable task) {}

    /** A stream, with what its client gets. */
    static final class Stream {
        final Ticket ticket;
        final String account;
        final int priority;
        final double tokens;
        final long duration;
        final long asked;
        final long target;
        long begun = -1;
        boolean started;
        boolean refused;
        boolean held;
        private StreamAdmission node;

        Stream(
                String account,
                int priority,
                double tokens,
                long duration,
                long asked,
                long target) {
            ticket = new Ticket(account, priority, tokens, asked, target);
            this.account = account;
            this.priority = priority;
            this.tokens = tokens;
            this.duration = duration;
            this.asked = asked;
            this.target = target;
        }

        boolean onTime() {
            return begun >= 0 && begun - asked <= target;
        }
    }

    private static final class Engine {
        private double used;
        private boolean lost;
        private final PriorityQueue<Stream> waiting =
                new PriorityQueue<>(
                        Comparator.comparingInt((Stream s) -> s.priority)
                                .thenComparingLong(s -> s.asked));
    }

    /** Kind of clients: rate of requests in a second, within a period. */
    record Clients(
            String account, int priority, double rate, double tokens, double from, double until) {}

    OverloadSimulation(
            int nodeCount, double capacityTokens, boolean shared, boolean controlled, long seed) {
        random = new SplittableRandom(seed);
        this.shared = shared;
        this.controlled = controlled;
        engineTokens = capacityTokens / ENGINES;
        engines = IntStream.range(0, ENGINES).mapToObj(i -> new Engine()).toList();
        nodes =
                IntStream.range(0, nodeCount)
                        .mapToObj(i -> new StreamAdmission(random.split()))
                        .toList();
        // clients are spread unevenly: the busiest node gets several times what the least gets
        weights =
                IntStream.range(0, nodeCount).mapToDouble(i -> 0.3 + random.nextDouble()).toArray();
    }

    /** Adds requests that are the same whatever other clients there are. */
    void add(Clients clients) {
        SplittableRandom draws = new SplittableRandom(clients.account.hashCode());
        double at = clients.from;
        while (true) {
            at += -Math.log(1 - draws.nextDouble()) / clients.rate;
            if (at >= clients.until) {
                return;
            }
            boolean large = draws.nextInt(10) == 0;
            double tokens = clients.tokens * (large ? 4 : 0.4 + 0.53 * draws.nextDouble());
            long duration = (long) ((1 + 3 * draws.nextDouble()) * SECOND);
            long asked = (long) (at * SECOND);
            long target = (clients.priority == 0 ? 500 : 1_000) * MILLI;
            Stream stream =
                    new Stream(clients.account, clients.priority, tokens, duration, asked, target);
            streams.add(stream);
            byTicket.put(stream.ticket, stream);
            schedule(asked, () -> arrive(stream));
        }
    }

    void loseEngines(double atSeconds, int count) {
        schedule(
                (long) (atSeconds * SECOND),
                () -> engines.subList(0, count).forEach(e -> e.lost = true));
    }

    void run(double seconds) {
        for (long at = 0, i = 0; at < seconds * SECOND; at += TICK, i++) {
            long tick = i;
            schedule(at, () -> tick(tick));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at;
            event.task.run();
        }
    }

    private void schedule(long at, Runnable task) {
        events.add(new Event(at, number++, task));
    }

    private StreamAdmission pickNode() {
        double draw = random.nextDouble() * Arrays.stream(weights).sum();
        int i = 0;
        while (i < weights.length - 1 && (draw -= weights[i]) >= 0) {
            i++;
        }
        return nodes.get(i);
    }

    private double capacity() {
        return engineTokens * engines.stream().filter(e -> !e.lost).count();
    }

    private Room room(StreamAdmission node) {
        return shared
                ? new Room(capacity(), knownUse, nodes.size(), true, VIEW_LAG * MILLI)
                : new Room(capacity(), node.ownTokens() * nodes.size(), nodes.size(), false, 0);
    }

    private void arrive(Stream stream) {
        stream.node = pickNode();
        if (!controlled) {
            start(stream);
            return;
        }
        switch (stream.node.arrive(stream.ticket, room(stream.node), now)) {
            case Decision.Start start -> start(stream);
            case Decision.Hold hold -> stream.held = true;
            case Decision.Refuse refuse -> stream.refused = true;
        }
    }

    private void tick(long tick) {
        if (tick % VIEW_TICKS == 0) {
            double use = engines.stream().filter(e -> !e.lost).mapToDouble(this::demand).sum();
            schedule(now + VIEW_LAG * MILLI, () -> knownUse = use);
        }
        for (StreamAdmission node : nodes) {
            node.observe(room(node), now);
            Optional<Ticket> next = node.next(room(node), now);
            while (next.isPresent()) {
                Ticket ticket = next.get();
                start(byTicket.get(ticket));
                next = node.next(room(node), now);
            }
            node.overdue(now).forEach(ticket -> byTicket.get(ticket).refused = true);
        }
    }

    private double demand(Engine engine) {
        return engine.used + engine.waiting.stream().mapToDouble(s -> s.tokens).sum();
    }

    private void start(Stream stream) {
        stream.started = true;
        stream.node.started(stream.ticket, now);
        knownUse += shared ? stream.tokens / nodes.size() : 0;
        Engine engine =
                engines.stream()
                        .filter(e -> !e.lost)
                        .min(
                                Comparator.comparingDouble(
                                        e -> demand(e) * (0.9 + random.nextDouble() / 5)))
                        .orElseThrow();
        engine.waiting.add(stream);
        schedule(now + PATIENCE, () -> leave(stream, engine));
        serve(engine);
    }

    private void leave(Stream stream, Engine engine) {
        if (engine.waiting.remove(stream)) {
            stream.node.ended(stream.ticket);
        }
    }

    private void serve(Engine engine) {
        while (!engine.waiting.isEmpty()
                && engine.used + engine.waiting.peek().tokens <= engineTokens) {
            Stream stream = engine.waiting.poll();
            engine.used += stream.tokens;
            long first = now + (60 + random.nextInt(40)) * MILLI;
            schedule(
                    first,
                    () -> {
                        stream.begun = now;
                        stream.node.begun(stream.ticket, room(stream.node), now);
                    });
            schedule(
                    first + stream.duration,
                    () -> {
                        engine.used -= stream.tokens;
                        stream.node.ended(stream.ticket);
                        serve(engine);
                    });
        }
    }

    /** Returns the part of some streams that began on time. */
    double share(Predicate<Stream> which) {
        return streams.stream()
                .filter(which)
                .mapToDouble(s -> s.onTime() ? 1 : 0)
                .average()
                .orElse(1);
    }

    /** Returns the part of the streams that were started that began on time. */
    double shareOfStarted() {
        return share(s -> s.started);
    }

    /** Returns the least share of two seconds in a period. */
    double worstTwoSeconds(int from, int until) {
        return IntStream.range(from, until - 1)
                .mapToDouble(t -> share(s -> s.asked >= t * SECOND && s.asked < (t + 2) * SECOND))
                .min()
                .orElseThrow();
    }

    /**
     * Computes the share that engines whose memory is always full would serve of the streams asked
     * for in a period, if they took streams of all sizes alike.
     */
    double bound(double capacity, double from, double until) {
        double wanted =
                streams.stream()
                        .filter(s -> s.asked >= from * SECOND && s.asked < until * SECOND)
                        .mapToDouble(s -> s.tokens * (s.duration + 80 * MILLI) / SECOND)
                        .sum();
        return Math.min(1, capacity * (until - from) / wanted);
    }

    static boolean within(Stream stream, double from, double until) {
        return stream.asked >= from * SECOND && stream.asked < until * SECOND;
    }
}
