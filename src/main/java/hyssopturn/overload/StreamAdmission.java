package hyssopturn.overload;

import hyssopturn.admit.DecayingSum;
import hyssopturn.admit.Quantile;
import hyssopturn.catalog.Priorities;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Decides for the new streams of one service whether they start, are held or are refused; not
 * thread-safe. Does no I/O; the caller passes in the time and what is known of the engines' memory.
 *
 * <p>A stream is held while its first event can still meet its target. Streams that have begun are
 * only counted.
 */
public final class StreamAdmission {
    /** Cause of the refusal of a stream whose turn would come too late. */
    public static final String TOO_LATE = "no room in time";

    /** Cause of the refusal of a stream for which too many others wait. */
    public static final String QUEUE_FULL = "too many held";

    private static final int MAX_HELD = 1_000;

    /** Expected wait over the time left at which a stream is refused at once. */
    private static final double HOPELESS = 1.5;

    /**
     * Multiple of the mean size for which there must be room at most. Large streams would otherwise
     * be passed by small ones; what they take beyond it delays the streams after them.
     */
    private static final double MAX_NEED = 1.5;

    /** Streams that the most urgent priority may start ahead of this node's share. */
    private static final double URGENT_LEAD = 2;

    /** Use of the limit above which a node starts only its share of the streams. */
    private static final double OPEN_PART = 0.7;

    /** Shortest time over which nodes together use up the room that they all see. */
    private static final Duration SPREAD = Duration.ofMillis(250);

    /** Ages of the known load that are added to that time. */
    private static final double AGES = 2;

    /** Greatest credit or debt of a node, in streams of the mean size. */
    private static final double MAX_CREDIT = 3;

    private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);
    private static final Duration REFUSAL_HALF_LIFE = Duration.ofSeconds(1);

    /** Weight of the newest stream in the mean size. */
    private static final double NEWEST_WEIGHT = 0.05;

    private static final double USUAL_SHARE = 0.8;
    private static final double USUAL_MILLIS = 100;
    private static final double MIN_USUAL_MILLIS = 20;
    private static final double MAX_USUAL_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Greatest part of a target that is kept for the first event itself. */
    private static final int USUAL_DIVISOR = 3;

    /** Part of the caller's remaining time that it waits at most before it returns. */
    private static final int RETURN_DIVISOR = 3;

    private final RandomGenerator random;
    private final UsablePart part = new UsablePart();
    private final PriorityDemand demand = new PriorityDemand();
    private final HeldStreams held = new HeldStreams();
    private final Set<Ticket> unbegun = new LinkedHashSet<>();
    private final Quantile usualMillis =
            new Quantile(USUAL_SHARE, USUAL_MILLIS, MIN_USUAL_MILLIS, MAX_USUAL_MILLIS);
    private final DecayingSum returning = new DecayingSum(REFUSAL_HALF_LIFE.toNanos());
    private double ownTokens;
    private double meanTokens;
    private double credit;
    private long creditNanos;
    private boolean constrained;

    /**
     * Creates an admission control without streams.
     *
     * @param random source of the spread of retries and of this node's phase among others
     */
    public StreamAdmission(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Decides about a stream that has just arrived. One that is held is offered by {@link #next}
     * later.
     *
     * @param ticket the stream
     * @param room memory of the engines
     * @param nowNanos time now
     * @return whether it starts, is held or is refused
     */
    public Decision arrive(Ticket ticket, Room room, long nowNanos) {
        if (ticket.ask()) {
            demand.recordAsked(ticket, nowNanos);
            double weight = meanTokens == 0 ? 1 : NEWEST_WEIGHT;
            meanTokens += weight * (ticket.tokens() - meanTokens);
        }
        observe(room, nowNanos);
        held.add(ticket);
        if (next(room, nowNanos).filter(ticket::equals).isPresent()) {
            held.serve(ticket);
            return new Decision.Start();
        }
        constrained = true;
        Optional<String> obstacle = obstacle(ticket, nowNanos);
        obstacle.ifPresent(cause -> refuse(ticket, nowNanos));
        return obstacle.<Decision>map(Decision.Refuse::new).orElseGet(Decision.Hold::new);
    }

    private Optional<String> obstacle(Ticket ticket, long nowNanos) {
        if (held.size() > MAX_HELD) {
            return Optional.of(QUEUE_FULL);
        }
        double left = startBeforeNanos(ticket) - nowNanos;
        return left <= 0 || waitNanos(ticket, nowNanos) > HOPELESS * left
                ? Optional.of(TOO_LATE)
                : Optional.empty();
    }

    /** Estimates the time until a stream's turn, 0 if nothing is known. */
    private double waitNanos(Ticket ticket, long nowNanos) {
        double rate = demand.ratePerSecond(ticket.priority(), nowNanos);
        return rate <= 0 ? 0 : held.tokensAhead(ticket) / rate * NANOS_PER_SECOND;
    }

    private long startBeforeNanos(Ticket ticket) {
        double usual = usualMillis.value() * NANOS_PER_MILLI;
        double kept = Math.min(usual, ticket.targetNanos() / (double) USUAL_DIVISOR);
        return ticket.arrivedNanos() + ticket.targetNanos() - Math.round(kept);
    }

    /**
     * Finds the held stream that starts next. The caller starts it and reports that, or postpones
     * it if it finds no engines.
     *
     * @param room memory of the engines
     * @param nowNanos time now
     * @return the stream, empty if none is held or there is no room for the next one
     */
    public Optional<Ticket> next(Room room, long nowNanos) {
        if (held.size() == 0) {
            return Optional.empty();
        }
        return starvedHead(nowNanos)
                .or(() -> urgentHead(nowNanos))
                .filter(t -> fits(t, room, nowNanos));
    }

    private Optional<Ticket> starvedHead(long nowNanos) {
        return IntStream.rangeClosed(Priorities.MOST_URGENT, Priorities.LEAST_URGENT)
                .filter(p -> demand.starved(p, nowNanos))
                .mapToObj(p -> held.head(p, nowNanos))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<Ticket> urgentHead(long nowNanos) {
        return IntStream.rangeClosed(Priorities.MOST_URGENT, Priorities.LEAST_URGENT)
                .mapToObj(p -> held.head(p, nowNanos))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private boolean fits(Ticket ticket, Room room, long nowNanos) {
        if (!part.limited() && !room.shared()) {
            return true;
        }
        double limit = part.limit(room);
        if (room.used() <= 0 || limit <= 0) {
            return true;
        }
        double need = room.cost(Math.min(ticket.tokens(), MAX_NEED * meanTokens));
        double reserved =
                demand.reserved(ticket.priority(), limit, room, room.cost(meanTokens), nowNanos);
        double lead = lead(ticket, room, nowNanos);
        return limit + room.cost(lead) - room.used() - reserved >= need
                && (credit + lead >= 0 || room.used() < OPEN_PART * limit);
    }

    /**
     * Returns the tokens that a stream may use beyond this node's share, since others that start
     * less urgent streams yield.
     */
    private double lead(Ticket ticket, Room room, long nowNanos) {
        double others = 1 - 1 / Math.max(1, room.nodes());
        return URGENT_LEAD * meanTokens * others * demand.lessUrgent(ticket.priority(), nowNanos);
    }

    /**
     * Updates what depends on the engines' memory and on the time; to be called every 20 ms or so
     * while streams are held or have not begun.
     *
     * @param room memory of the engines
     * @param nowNanos time now
     */
    public void observe(Room room, long nowNanos) {
        part.grow(room, held.size() > 0, nowNanos);
        earnCredit(room, nowNanos);
        for (Ticket ticket : List.copyOf(unbegun)) {
            if (nowNanos - ticket.startedNanos() > UsablePart.LATE_PART * ticket.targetNanos()) {
                unbegun.remove(ticket);
                ticket.judge();
                part.record(true, ticket.startedNanos(), room, nowNanos);
            }
        }
        boolean nearLimit = room.used() > OPEN_PART * part.limit(room);
        constrained = held.size() > 0 || (nearLimit && (constrained || part.limited()));
    }

    /**
     * Lets this node replace the streams that it ended, and gives it its share of the room that all
     * nodes see, or takes back its share of what they overfilled. What other nodes start is seen
     * only after some time, so the correction takes longer than that.
     */
    private void earnCredit(Room room, long nowNanos) {
        double limit = part.limit(room);
        if (!room.shared() || room.nodes() <= 1 || room.used() < OPEN_PART * limit) {
            credit = meanTokens * (random.nextDouble() - 1) * (room.nodes() > 1 ? 1 : 0);
        } else {
            double spread = SPREAD.toNanos() + AGES * room.ageNanos();
            double share = (limit - room.used()) / room.nodes();
            credit += share * (nowNanos - creditNanos) / spread;
            credit = Math.clamp(credit, -MAX_CREDIT * meanTokens, MAX_CREDIT * meanTokens);
        }
        creditNanos = nowNanos;
    }

    /**
     * Removes the held streams whose first event can no longer meet the target. One that no other
     * waits for stays a little longer, for its late value.
     *
     * @param nowNanos time now
     * @return the streams, which are to be refused
     */
    public List<Ticket> overdue(long nowNanos) {
        List<Ticket> overdue =
                held.all().stream().filter(t -> startBeforeNanos(t) <= nowNanos).toList();
        List<Ticket> refused =
                overdue.stream()
                        .filter(
                                t ->
                                        held.holdsOther(t)
                                                || startBeforeNanos(t) + t.targetNanos()
                                                        <= nowNanos)
                        .toList();
        refused.forEach(t -> refuse(t, nowNanos));
        return refused;
    }

    private void refuse(Ticket ticket, long nowNanos) {
        held.drop(ticket);
        returning.add(ticket.tokens(), nowNanos);
    }

    /**
     * Keeps a stream for which no engines were found; others are tried before it is again.
     *
     * @param ticket the stream
     * @param nowNanos time now
     */
    public void postpone(Ticket ticket, long nowNanos) {
        ticket.tryAgainAt(nowNanos + SEARCH_INTERVAL.toNanos());
        if (!held.all().contains(ticket)) {
            held.add(ticket);
        }
    }

    /**
     * Records that a stream was started, also one that did not need admission.
     *
     * @param ticket the stream
     * @param nowNanos time now
     */
    public void started(Ticket ticket, long nowNanos) {
        held.serve(ticket);
        if (ticket.started()) {
            return;
        }
        ticket.start(nowNanos);
        ownTokens += ticket.tokens();
        credit -= ticket.tokens();
        unbegun.add(ticket);
        demand.recordStarted(ticket, nowNanos);
    }

    /**
     * Records the first event of a stream.
     *
     * @param ticket the stream
     * @param room memory of the engines
     * @param nowNanos time now
     */
    public void begun(Ticket ticket, Room room, long nowNanos) {
        unbegun.remove(ticket);
        if (!ticket.started() || !ticket.judge()) {
            return;
        }
        long took = nowNanos - ticket.startedNanos();
        usualMillis.add(took / NANOS_PER_MILLI);
        boolean late = took > UsablePart.LATE_PART * ticket.targetNanos();
        part.record(late, ticket.startedNanos(), room, nowNanos);
    }

    /**
     * Records that an engine refused a stream, mostly for lack of memory.
     *
     * @param ticket the stream
     * @param room memory of the engines
     * @param nowNanos time now
     */
    public void refusedByEngine(Ticket ticket, Room room, long nowNanos) {
        unbegun.remove(ticket);
        if (ticket.started() && ticket.judge()) {
            part.record(true, ticket.startedNanos(), room, nowNanos);
        }
    }

    /**
     * Records that a stream ended, whatever its outcome.
     *
     * @param ticket the stream
     */
    public void ended(Ticket ticket) {
        held.drop(ticket);
        unbegun.remove(ticket);
        if (ticket.started()) {
            ownTokens -= ticket.tokens();
            credit += ticket.tokens();
        }
        ticket.end();
    }

    /**
     * Returns when a refused stream should come back: when the streams before it, and those that
     * were told to come back lately, have probably been started.
     *
     * @param ticket the stream
     * @param left time that its caller has left
     * @param nowNanos time now
     * @return the time, spread over callers, at most a third of the time left; empty if nothing is
     *     known
     */
    public Optional<Duration> retryAfter(Ticket ticket, Duration left, long nowNanos) {
        double rate = demand.ratePerSecond(ticket.priority(), nowNanos);
        if (!constrained || rate <= 0 || left.isNegative()) {
            return Optional.empty();
        }
        double ahead = held.tokensAhead(ticket) + returning.value(nowNanos) + ticket.tokens();
        double most = left.toNanos() / (double) RETURN_DIVISOR;
        double wait = Math.min(ahead / rate * NANOS_PER_SECOND, most);
        return Optional.of(Duration.ofNanos(Math.round(wait * (1 + random.nextDouble()) / 2)));
    }

    /**
     * Returns whether new streams compete for memory, so that engines without room must not be
     * tried.
     *
     * @return true while streams are held, late or refused
     */
    public boolean constrained() {
        return constrained;
    }

    /**
     * Counts the streams that wait.
     *
     * @return number of streams
     */
    public int heldCount() {
        return held.size();
    }

    /**
     * Returns whether {@link #observe} is needed.
     *
     * @return true while streams are held or have not begun
     */
    public boolean active() {
        return held.size() > 0 || !unbegun.isEmpty();
    }

    /**
     * Returns the tokens of this node's streams.
     *
     * @return number of tokens, each counted once for a whole chain
     */
    public double ownTokens() {
        return ownTokens;
    }

    /**
     * Returns the tokens that all streams may use.
     *
     * @param room memory of the engines
     * @return number of tokens at the thinnest layer
     */
    public double limit(Room room) {
        return part.limit(room);
    }
}
