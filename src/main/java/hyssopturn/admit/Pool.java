package hyssopturn.admit;

import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.Reason;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides for all requests that share one model or service: which waits, starts or is refused.
 *
 * <p>Pure: time comes in with each call, decisions go out as verdicts. Not safe for use by several
 * threads; its owner holds a lock around it.
 */
class Pool {
    private static final double RESERVE = 0.1;
    private static final double PROMPT_COST = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RATE_SMOOTHING = 0.2;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AdmitSettings settings;
    private final WaitQueue queue;
    private final ConcurrencyLimit limit;
    private final Map<ClassName, Predictor> predictors = new HashMap<>();
    private final Map<ClassName, Length> lengths = new HashMap<>();
    private Pace pace;
    private int running;
    private int mostRunning;
    private int releases;
    private long rateFromNanos;
    private double releasesPerSecond = Double.POSITIVE_INFINITY;
    private long sequence;

    Pool(AdmitSettings settings) {
        this.settings = settings;
        limit = ConcurrencyLimit.of(settings);
        queue =
                switch (settings.policy()) {
                    case OPEN, FIFO -> new OrderedQueue(Ticket.BY_ARRIVAL);
                    case DEADLINE -> new OrderedQueue(Ticket.BY_DEADLINE);
                    case FEASIBLE -> new OrderedQueue(Ticket.BY_LATEST_START);
                    case GOODPUT -> new OrderedQueue(Ticket.BY_COST);
                    case FAIR -> new FairQueue();
                };
    }

    /** Mean share of the allowed length that answers of a class have. */
    private static final class Length {
        private static final double RATE = 0.02;
        private double share = 1;

        void add(int tokens, int maxTokens) {
            share += RATE * (Math.min(1, (double) tokens / maxTokens) - share);
        }
    }

    Ticket ticket(Admission.Ask ask) {
        return new Ticket(ask, sequence++);
    }

    /** Takes a request in. */
    List<Verdict> offer(Ticket ticket, long now) {
        List<Verdict> verdicts = new ArrayList<>(1);
        aim(ticket);
        if (settings.policy().refusesLate() && hopeless(ticket, now)) {
            refuse(ticket, Reason.DEADLINE, now, verdicts);
            return verdicts;
        }
        if (!queue.accepts(ticket, settings.queueCapacity())) {
            refuse(ticket, Reason.OVERLOADED, now, verdicts);
            return verdicts;
        }
        queue.add(ticket);
        fill(now, verdicts);
        return verdicts;
    }

    private void aim(Ticket ticket) {
        Admission.Ask ask = ticket.ask;
        Length length = lengths.get(ticket.workClass.name());
        double share = length == null ? 1 : length.share;
        ticket.cost = 1 + PROMPT_COST * ask.promptTokens() + share * ask.maxTokens();
        ticket.deadlineNanos = ask.arrivedNanos() + ticket.workClass.target().first().toNanos();
        double high = predictor(ticket.workClass).high(ask.promptTokens());
        ticket.latestStartNanos = ticket.deadlineNanos - Math.round(high);
    }

    private Predictor predictor(WorkClass workClass) {
        return predictors.computeIfAbsent(workClass.name(), name -> new Predictor());
    }

    private boolean hopeless(Ticket ticket, long now) {
        double middle = predictor(ticket.workClass).middle(ticket.ask.promptTokens());
        return now + middle > ticket.deadlineNanos;
    }

    private void refuse(Ticket ticket, Reason reason, long now, List<Verdict> verdicts) {
        ticket.state = Ticket.State.ENDED;
        queue.ended(ticket, false, now);
        if (reason == Reason.OVERLOADED) {
            queue.refused(ticket, now);
        }
        verdicts.add(new Verdict.Refuse(ticket, reason, RETRY_AFTER));
    }

    /** Starts and refuses whatever is due. */
    List<Verdict> poll(long now) {
        List<Verdict> verdicts = new ArrayList<>();
        fill(now, verdicts);
        return verdicts;
    }

    private void fill(long now, List<Verdict> verdicts) {
        adapt(now);
        startWhileRoom(now, verdicts);
        if (settings.policy().refusesLate()) {
            refuseLate(now, verdicts);
        }
    }

    /** Tells whether another request may start. */
    boolean room() {
        return settings.policy() == Policy.OPEN || running < limit.limit();
    }

    private void startWhileRoom(long now, List<Verdict> verdicts) {
        while (room()) {
            WaitQueue.Supply supply =
                    new WaitQueue.Supply(
                            now,
                            limit.limit() - running,
                            (int) (limit.limit() * RESERVE),
                            releasesPerSecond);
            Optional<Ticket> next = queue.next(supply);
            if (next.isEmpty()) {
                return;
            }
            Ticket ticket = next.get();
            queue.remove(ticket);
            if (settings.policy().refusesLate() && hopeless(ticket, now)) {
                refuse(ticket, Reason.OVERLOADED, now, verdicts);
            } else {
                start(ticket, now);
                verdicts.add(new Verdict.Start(ticket));
            }
        }
    }

    private void start(Ticket ticket, long now) {
        ticket.state = Ticket.State.RUNNING;
        ticket.startedNanos = now;
        running++;
        mostRunning = Math.max(mostRunning, running);
        queue.started(ticket, now);
    }

    private void refuseLate(long now, List<Verdict> verdicts) {
        while (true) {
            Optional<Ticket> urgent = queue.mostUrgent();
            if (urgent.isEmpty() || urgent.get().latestStartNanos >= now) {
                return;
            }
            queue.remove(urgent.get());
            refuse(urgent.get(), Reason.OVERLOADED, now, verdicts);
        }
    }

    private void adapt(long now) {
        if (pace == null || !pace.due(now)) {
            return;
        }
        double pressure = pace.take(now);
        if (!Double.isNaN(pressure) && pressure > 0) {
            limit.update(pressure, mostRunning);
        }
        mostRunning = running;
        rate(now);
    }

    private void rate(long now) {
        double seconds = (now - rateFromNanos) / NANOS_PER_SECOND;
        double observed = releases / seconds;
        releases = 0;
        rateFromNanos = now;
        if (running < limit.limit()) {
            return;
        }
        releasesPerSecond =
                Double.isInfinite(releasesPerSecond)
                        ? observed
                        : releasesPerSecond + RATE_SMOOTHING * (observed - releasesPerSecond);
    }

    /** Notes a part of a running request's answer. */
    List<Verdict> part(Ticket ticket, long now) {
        if (ticket.state != Ticket.State.RUNNING) {
            return List.of();
        }
        if (ticket.parts == 0) {
            ticket.firstNanos = now;
            long taken = now - ticket.startedNanos;
            predictor(ticket.workClass).add(ticket.ask.promptTokens(), (double) taken);
            pace(ticket).first(ticket, taken);
            pace(ticket).begin(ticket);
        } else {
            pace(ticket).between(ticket, now - ticket.lastNanos);
        }
        ticket.parts++;
        ticket.lastNanos = now;
        return pace.due(now) ? poll(now) : List.of();
    }

    private Pace pace(Ticket ticket) {
        if (pace == null) {
            pace = new Pace(ticket.workClass.share());
        }
        return pace;
    }

    /** Takes a running request's slot back. */
    List<Verdict> release(Ticket ticket, Admission.Use use, long now) {
        if (ticket.state != Ticket.State.RUNNING) {
            return List.of();
        }
        ticket.state = Ticket.State.ENDED;
        running--;
        releases++;
        pace(ticket).whole(ticket);
        if (use.ran() && ticket.ask.maxTokens() > 0) {
            lengths.computeIfAbsent(ticket.workClass.name(), name -> new Length())
                    .add(use.tokens(), ticket.ask.maxTokens());
        }
        queue.ended(ticket, use.ran() && met(ticket), now);
        return poll(now);
    }

    private static boolean met(Ticket ticket) {
        if (ticket.parts == 0 || ticket.firstNanos > ticket.deadlineNanos) {
            return false;
        }
        return switch (ticket.workClass.target()) {
            case Target.Answer answer -> true;
            case Target.Stream(Duration first, Duration between) ->
                    ticket.lastNanos - ticket.firstNanos
                            <= between.toNanos() * Math.max(0, ticket.parts - 1);
        };
    }

    /** Takes out a request whose caller went away; false if it did not wait. */
    boolean cancel(Ticket ticket) {
        if (ticket.state != Ticket.State.WAITING) {
            return false;
        }
        ticket.state = Ticket.State.ENDED;
        return queue.remove(ticket);
    }

    /** Applies new targets to requests that wait. */
    List<Verdict> reconfigure(Config config, long now) {
        List<Ticket> waiting = new ArrayList<>();
        for (Optional<Ticket> t = queue.mostUrgent(); t.isPresent(); t = queue.mostUrgent()) {
            queue.remove(t.get());
            waiting.add(t.get());
        }
        for (Ticket ticket : waiting) {
            config.workClass(ticket.workClass.name())
                    .filter(c -> sameWork(c.work(), ticket.workClass.work()))
                    .ifPresent(c -> ticket.workClass = c);
            aim(ticket);
            queue.add(ticket);
        }
        return poll(now);
    }

    private static boolean sameWork(Work a, Work b) {
        return ScheduledAdmission.pool(a).equals(ScheduledAdmission.pool(b));
    }

    /** Returns when the next request that waits must be refused unless it starts. */
    OptionalLong dueNanos() {
        if (!settings.policy().refusesLate()) {
            return OptionalLong.empty();
        }
        return queue.mostUrgent()
                .map(t -> OptionalLong.of(t.latestStartNanos + 1))
                .orElse(OptionalLong.empty());
    }

    Policy policy() {
        return settings.policy();
    }

    int running() {
        return running;
    }

    int waiting() {
        return queue.size();
    }

    int limit() {
        return limit.limit();
    }
}
