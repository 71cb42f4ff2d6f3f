package hyssopturn.admit;

import hyssopturn.model.ClassName;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Queue that starts the most urgent request while all can start in time, and otherwise keeps
 * classes even by share of targets met and accounts even by served cost.
 *
 * <p>What waits looks feasible soon after the rest was refused, so a refusal for want of slots
 * keeps the queue in the second mode for a while.
 */
final class FairQueue implements WaitQueue {
    private static final int ACCOUNT_PART = 2;
    private static final long STRAINED_NANOS = 5_000_000_000L;

    private final Map<ClassName, ClassQueue> classes = new LinkedHashMap<>();
    private final TreeSet<Ticket> byStart = new TreeSet<>(Ticket.BY_LATEST_START);
    private final Demand demand = new Demand();
    private long strainedUntilNanos = Long.MIN_VALUE;

    @Override
    public void add(Ticket ticket) {
        if (byStart.add(ticket)) {
            demand.add(ticket.latestStartNanos);
            queue(ticket).add(ticket);
        }
    }

    private ClassQueue queue(Ticket ticket) {
        return classes.computeIfAbsent(ticket.workClass.name(), name -> new ClassQueue());
    }

    @Override
    public boolean remove(Ticket ticket) {
        if (!byStart.remove(ticket)) {
            return false;
        }
        demand.remove(ticket.latestStartNanos);
        return queue(ticket).remove(ticket);
    }

    @Override
    public Optional<Ticket> next(Supply supply) {
        if (byStart.isEmpty()) {
            return Optional.empty();
        }
        boolean strained = supply.nowNanos() < strainedUntilNanos || demand.exceeds(supply);
        return strained ? fairest(supply) : Optional.of(byStart.first());
    }

    private Optional<Ticket> fairest(Supply supply) {
        long now = supply.nowNanos();
        Comparator<Ticket> order =
                Comparator.<Ticket, Boolean>comparing(t -> overServed(t, now))
                        .thenComparingDouble(t -> attainment(t, now))
                        .thenComparing(Ticket.BY_LATEST_START);
        return classes.values().stream()
                .filter(c -> !c.isEmpty())
                .map(c -> c.head(now))
                .min(order)
                .filter(t -> supply.free() > supply.reserve() || !overServed(t, now));
    }

    private boolean overServed(Ticket ticket, long now) {
        return queue(ticket).overServed(ticket.ask.account(), now);
    }

    private double attainment(Ticket ticket, long now) {
        return queue(ticket).attainment(now) / ticket.workClass.share();
    }

    @Override
    public Optional<Ticket> mostUrgent() {
        return byStart.isEmpty() ? Optional.empty() : Optional.of(byStart.first());
    }

    @Override
    public void started(Ticket ticket, long nowNanos) {
        queue(ticket).started(ticket, nowNanos);
    }

    @Override
    public void refused(Ticket ticket, long nowNanos) {
        strainedUntilNanos = nowNanos + STRAINED_NANOS;
    }

    @Override
    public void ended(Ticket ticket, boolean met, long nowNanos) {
        queue(ticket).ended(ticket, met, nowNanos);
    }

    @Override
    public boolean accepts(Ticket ticket, int capacity) {
        int own = queue(ticket).waitingOf(ticket.ask.account());
        return size() < capacity && own < Math.max(1, capacity / ACCOUNT_PART);
    }

    @Override
    public int size() {
        return byStart.size();
    }
}
