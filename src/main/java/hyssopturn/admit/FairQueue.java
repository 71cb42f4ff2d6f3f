package hyssopturn.admit;

import hyssopturn.model.ClassName;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Queue that starts the most urgent request while all can start in time. Otherwise, in the fair
 * mode, it balances classes by the share of requests that met the target and accounts by served
 * cost.
 *
 * <p>Soon after some requests were refused, the remaining ones look feasible again. Therefore a
 * refusal for lack of slots keeps the queue in the fair mode for some seconds.
 */
final class FairQueue implements WaitQueue {
    private static final int ACCOUNT_CAPACITY_DIVISOR = 2;
    private static final long FAIR_MODE_NANOS = 5_000_000_000L;

    private final Map<ClassName, ClassQueue> classes = new LinkedHashMap<>();
    private final TreeSet<Ticket> byLatestStart = new TreeSet<>(Ticket.BY_LATEST_START);
    private final Demand demand = new Demand();
    private long fairModeUntilNanos = Long.MIN_VALUE;

    @Override
    public void add(Ticket ticket) {
        if (byLatestStart.add(ticket)) {
            demand.add(ticket.latestStartNanos);
            classQueue(ticket).add(ticket);
        }
    }

    private ClassQueue classQueue(Ticket ticket) {
        return classes.computeIfAbsent(ticket.workClass.name(), name -> new ClassQueue());
    }

    @Override
    public boolean remove(Ticket ticket) {
        if (!byLatestStart.remove(ticket)) {
            return false;
        }
        demand.remove(ticket.latestStartNanos);
        return classQueue(ticket).remove(ticket);
    }

    @Override
    public Optional<Ticket> next(Supply supply) {
        if (byLatestStart.isEmpty()) {
            return Optional.empty();
        }
        boolean fair = supply.nowNanos() < fairModeUntilNanos || demand.exceeds(supply);
        return fair ? nextFair(supply) : Optional.of(byLatestStart.first());
    }

    private Optional<Ticket> nextFair(Supply supply) {
        long now = supply.nowNanos();
        Comparator<Ticket> order =
                Comparator.<Ticket, Boolean>comparing(t -> overServed(t, now))
                        .thenComparingDouble(t -> attainment(t, now))
                        .thenComparing(Ticket.BY_LATEST_START);
        return classes.values().stream()
                .filter(c -> !c.isEmpty())
                .map(c -> c.head(now))
                .min(order)
                .filter(t -> supply.freeSlots() > supply.reservedSlots() || !overServed(t, now));
    }

    private boolean overServed(Ticket ticket, long now) {
        return classQueue(ticket).overServed(ticket.request.account(), now);
    }

    private double attainment(Ticket ticket, long now) {
        return classQueue(ticket).attainment(now) / ticket.workClass.share();
    }

    @Override
    public Optional<Ticket> mostUrgent() {
        return byLatestStart.isEmpty() ? Optional.empty() : Optional.of(byLatestStart.first());
    }

    @Override
    public void started(Ticket ticket, long nowNanos) {
        classQueue(ticket).started(ticket, nowNanos);
    }

    @Override
    public void refused(Ticket ticket, long nowNanos) {
        fairModeUntilNanos = nowNanos + FAIR_MODE_NANOS;
    }

    @Override
    public void ended(Ticket ticket, boolean met, long nowNanos) {
        classQueue(ticket).ended(ticket, met, nowNanos);
    }

    @Override
    public boolean accepts(Ticket ticket, int capacity) {
        int own = classQueue(ticket).waitingOf(ticket.request.account());
        return size() < capacity && own < Math.max(1, capacity / ACCOUNT_CAPACITY_DIVISOR);
    }

    @Override
    public int size() {
        return byLatestStart.size();
    }
}
