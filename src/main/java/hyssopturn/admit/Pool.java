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
 * Decides which of the requests of one model or service wait, start or are refused.
 *
 * <p>Has no side effects outside its own state: each call passes the time and returns the
 * decisions. Not thread-safe; the owner guards it by a lock.
 */
class Pool {
    /** Share of the limit that over-served accounts may not use. */
    private static final double RESERVED_SHARE = 0.1;

    /** Cost of a token of the prompt relative to a generated token. */
    private static final double PROMPT_TOKEN_COST = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RATE_SMOOTHING = 0.2;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AdmitSettings settings;
    private final WaitQueue queue;
    private final ConcurrencyLimit limit;
    private final Map<ClassName, LatencyPredictor> predictors = new HashMap<>();
    private final Map<ClassName, AnswerLength> answerLengths = new HashMap<>();
    private PressureMeter pressureMeter;
    private int running;
    private int maxRunning;
    private int releases;
    private long rateStartNanos;
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

    /** Mean length of the answers of a class, as a share of their greatest allowed length. */
    private static final class AnswerLength {
        private static final double SMOOTHING = 0.02;
        private double share = 1;

        void add(int tokens, int maxTokens) {
            share += SMOOTHING * (Math.min(1, (double) tokens / maxTokens) - share);
        }
    }

    Ticket newTicket(Admission.Request request) {
        return new Ticket(request, sequence++);
    }

    /** Queues, starts or refuses a request that arrived. */
    List<Decision> offer(Ticket ticket, long now) {
        List<Decision> decisions = new ArrayList<>(1);
        updateEstimates(ticket);
        if (settings.policy().refusesLate() && isTooLate(ticket, now)) {
            refuse(ticket, Reason.DEADLINE, now, decisions);
            return decisions;
        }
        if (!queue.accepts(ticket, settings.queueCapacity())) {
            refuse(ticket, Reason.OVERLOADED, now, decisions);
            return decisions;
        }
        queue.add(ticket);
        startAndRefuse(now, decisions);
        return decisions;
    }

    /** Estimates the cost, the deadline and the latest start time of a request. */
    private void updateEstimates(Ticket ticket) {
        Admission.Request request = ticket.request;
        AnswerLength length = answerLengths.get(ticket.workClass.name());
        double share = length == null ? 1 : length.share;
        ticket.cost = 1 + PROMPT_TOKEN_COST * request.promptTokens() + share * request.maxTokens();
        ticket.deadlineNanos = request.arrivedNanos() + ticket.workClass.target().first().toNanos();
        double upperBound = predictor(ticket.workClass).upperBoundNanos(request.promptTokens());
        ticket.latestStartNanos = ticket.deadlineNanos - Math.round(upperBound);
    }

    private LatencyPredictor predictor(WorkClass workClass) {
        return predictors.computeIfAbsent(workClass.name(), name -> new LatencyPredictor());
    }

    private boolean isTooLate(Ticket ticket, long now) {
        double expected = predictor(ticket.workClass).expectedNanos(ticket.request.promptTokens());
        return now + expected > ticket.deadlineNanos;
    }

    private void refuse(Ticket ticket, Reason reason, long now, List<Decision> decisions) {
        ticket.state = Ticket.State.ENDED;
        queue.ended(ticket, false, now);
        if (reason == Reason.OVERLOADED) {
            queue.refused(ticket, now);
        }
        decisions.add(new Decision.Refuse(ticket, reason, RETRY_AFTER));
    }

    /** Starts requests while slots are free and refuses those that are too late. */
    List<Decision> poll(long now) {
        List<Decision> decisions = new ArrayList<>();
        startAndRefuse(now, decisions);
        return decisions;
    }

    private void startAndRefuse(long now, List<Decision> decisions) {
        updateLimit(now);
        startWhileSlotsFree(now, decisions);
        if (settings.policy().refusesLate()) {
            refuseLate(now, decisions);
        }
    }

    /** Returns whether another request may start. */
    boolean hasFreeSlot() {
        return settings.policy() == Policy.OPEN || running < limit.limit();
    }

    private void startWhileSlotsFree(long now, List<Decision> decisions) {
        while (hasFreeSlot()) {
            WaitQueue.Supply supply =
                    new WaitQueue.Supply(
                            now,
                            limit.limit() - running,
                            (int) (limit.limit() * RESERVED_SHARE),
                            releasesPerSecond);
            Optional<Ticket> next = queue.next(supply);
            if (next.isEmpty()) {
                return;
            }
            Ticket ticket = next.get();
            queue.remove(ticket);
            if (settings.policy().refusesLate() && isTooLate(ticket, now)) {
                refuse(ticket, Reason.OVERLOADED, now, decisions);
            } else {
                start(ticket, now);
                decisions.add(new Decision.Start(ticket));
            }
        }
    }

    private void start(Ticket ticket, long now) {
        ticket.state = Ticket.State.RUNNING;
        ticket.startedNanos = now;
        running++;
        maxRunning = Math.max(maxRunning, running);
        queue.started(ticket, now);
    }

    private void refuseLate(long now, List<Decision> decisions) {
        while (true) {
            Optional<Ticket> urgent = queue.mostUrgent();
            if (urgent.isEmpty() || urgent.get().latestStartNanos >= now) {
                return;
            }
            queue.remove(urgent.get());
            refuse(urgent.get(), Reason.OVERLOADED, now, decisions);
        }
    }

    private void updateLimit(long now) {
        if (pressureMeter == null || !pressureMeter.intervalIsOver(now)) {
            return;
        }
        double pressure = pressureMeter.endInterval(now);
        if (!Double.isNaN(pressure) && pressure > 0) {
            limit.update(pressure, maxRunning);
        }
        maxRunning = running;
        updateReleaseRate(now);
    }

    /** Updates the rate at which slots come free, observed only while the limit is reached. */
    private void updateReleaseRate(long now) {
        double seconds = (now - rateStartNanos) / NANOS_PER_SECOND;
        double observed = releases / seconds;
        releases = 0;
        rateStartNanos = now;
        if (running < limit.limit()) {
            return;
        }
        releasesPerSecond =
                Double.isInfinite(releasesPerSecond)
                        ? observed
                        : releasesPerSecond + RATE_SMOOTHING * (observed - releasesPerSecond);
    }

    /** Records a part of the answer of a running request. */
    List<Decision> recordPart(Ticket ticket, long now) {
        if (ticket.state != Ticket.State.RUNNING) {
            return List.of();
        }
        if (ticket.parts == 0) {
            ticket.firstNanos = now;
            long elapsed = now - ticket.startedNanos;
            predictor(ticket.workClass).add(ticket.request.promptTokens(), (double) elapsed);
            pressureMeter(ticket).addFirstPart(ticket, elapsed);
            pressureMeter(ticket).answerStarted(ticket);
        } else {
            pressureMeter(ticket).addGap(ticket, now - ticket.lastNanos);
        }
        ticket.parts++;
        ticket.lastNanos = now;
        return pressureMeter.intervalIsOver(now) ? poll(now) : List.of();
    }

    private PressureMeter pressureMeter(Ticket ticket) {
        if (pressureMeter == null) {
            pressureMeter = new PressureMeter(ticket.workClass.share());
        }
        return pressureMeter;
    }

    /** Releases the slot of a running request. */
    List<Decision> release(Ticket ticket, Admission.Usage usage, long now) {
        if (ticket.state != Ticket.State.RUNNING) {
            return List.of();
        }
        ticket.state = Ticket.State.ENDED;
        running--;
        releases++;
        pressureMeter(ticket).answerEnded(ticket);
        if (usage.ran() && ticket.request.maxTokens() > 0) {
            answerLengths
                    .computeIfAbsent(ticket.workClass.name(), name -> new AnswerLength())
                    .add(usage.tokens(), ticket.request.maxTokens());
        }
        queue.ended(ticket, usage.ran() && metTarget(ticket), now);
        return poll(now);
    }

    private static boolean metTarget(Ticket ticket) {
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

    /** Removes a waiting request whose caller cancelled it; false if it was not waiting. */
    boolean cancel(Ticket ticket) {
        if (ticket.state != Ticket.State.WAITING) {
            return false;
        }
        ticket.state = Ticket.State.ENDED;
        return queue.remove(ticket);
    }

    /** Applies new targets to waiting requests. */
    List<Decision> reconfigure(Config config, long now) {
        List<Ticket> waiting = new ArrayList<>();
        for (Optional<Ticket> t = queue.mostUrgent(); t.isPresent(); t = queue.mostUrgent()) {
            queue.remove(t.get());
            waiting.add(t.get());
        }
        for (Ticket ticket : waiting) {
            config.workClass(ticket.workClass.name())
                    .filter(c -> sameWork(c.work(), ticket.workClass.work()))
                    .ifPresent(c -> ticket.workClass = c);
            updateEstimates(ticket);
            queue.add(ticket);
        }
        return poll(now);
    }

    private static boolean sameWork(Work a, Work b) {
        return ScheduledAdmission.poolKey(a).equals(ScheduledAdmission.poolKey(b));
    }

    /** Returns the time at which the next waiting request must be refused unless it starts. */
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
