package hyssopturn.admit;

import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Reference implementation that computes the fair order from the whole history at each call. */
final class NaiveFairQueue implements WaitQueue {
    private static final double ATTAINMENT_HALF_LIFE_NANOS = 10e9;
    private static final double SERVED_HALF_LIFE_NANOS = 30e9;

    private final List<Ticket> waiting = new ArrayList<>();
    private final List<Event> starts = new ArrayList<>();
    private final List<Event> ends = new ArrayList<>();
    private final Map<String, Double> tags = new HashMap<>();
    private final Map<ClassName, Double> virtualTimes = new HashMap<>();
    private final Map<String, Ticket> lastByAccount = new HashMap<>();

    /** Start of a request with its cost, or end of a request with whether it met the target. */
    private record Event(
            ClassName name, AccountId account, double amount, boolean met, long atNanos) {}

    private static String key(Ticket ticket) {
        return ticket.workClass.name() + "/" + ticket.request.account();
    }

    private double virtualTime(Ticket ticket) {
        return virtualTimes.getOrDefault(ticket.workClass.name(), 0.0);
    }

    @Override
    public void add(Ticket ticket) {
        boolean idle = waiting.stream().noneMatch(t -> key(t).equals(key(ticket)));
        if (idle) {
            double tag = tags.getOrDefault(key(ticket), 0.0);
            tags.put(key(ticket), Math.max(tag, virtualTime(ticket)));
        }
        lastByAccount.put(key(ticket), ticket);
        waiting.add(ticket);
    }

    @Override
    public boolean remove(Ticket ticket) {
        return waiting.remove(ticket);
    }

    @Override
    public Optional<Ticket> next(Supply supply) {
        if (Double.isInfinite(supply.slotsPerSecond())) {
            return mostUrgent();
        }
        return waiting.stream()
                .filter(t -> headOfClass(t, supply.nowNanos()) == t)
                .min(
                        Comparator.<Ticket, Boolean>comparing(t -> overServed(t, supply.nowNanos()))
                                .thenComparingDouble(t -> attainment(t, supply.nowNanos()))
                                .thenComparing(Ticket.BY_LATEST_START));
    }

    /** Returns the waiting request that the class of a request would start first. */
    private Ticket headOfClass(Ticket ticket, long now) {
        return waiting.stream()
                .filter(t -> t.workClass.name().equals(ticket.workClass.name()))
                .min(
                        Comparator.<Ticket, Boolean>comparing(t -> overServed(t, now))
                                .thenComparingDouble(t -> tags.get(key(t)))
                                .thenComparing(t -> t.request.account())
                                .thenComparing(Ticket.BY_LATEST_START))
                .orElseThrow();
    }

    private double attainment(Ticket ticket, long now) {
        ClassName name = ticket.workClass.name();
        double ended = sum(ends, ATTAINMENT_HALF_LIFE_NANOS, now, e -> e.name().equals(name));
        double met =
                sum(ends, ATTAINMENT_HALF_LIFE_NANOS, now, e -> e.name().equals(name) && e.met());
        return (met + 1) / (ended + 1) / ticket.workClass.share();
    }

    private boolean overServed(Ticket ticket, long now) {
        ClassName name = ticket.workClass.name();
        long accounts =
                lastByAccount.values().stream()
                        .filter(t -> t.workClass.name().equals(name))
                        .count();
        double own =
                sum(
                        starts,
                        SERVED_HALF_LIFE_NANOS,
                        now,
                        e -> e.name().equals(name) && e.account().equals(ticket.request.account()));
        double share =
                sum(starts, SERVED_HALF_LIFE_NANOS, now, e -> e.name().equals(name)) / accounts;
        return accounts >= 2 && lastByAccount.containsKey(key(ticket)) && own > 2.5 * share;
    }

    private static double sum(
            List<Event> history, double halfLife, long now, Predicate<Event> filter) {
        return history.stream()
                .filter(filter)
                .mapToDouble(e -> e.amount() * Math.pow(0.5, (now - e.atNanos()) / halfLife))
                .sum();
    }

    @Override
    public Optional<Ticket> mostUrgent() {
        return waiting.stream().min(Ticket.BY_LATEST_START);
    }

    @Override
    public void started(Ticket ticket, long now) {
        ClassName name = ticket.workClass.name();
        double start = tags.get(key(ticket));
        tags.put(key(ticket), start + ticket.cost);
        starts.add(new Event(name, ticket.request.account(), ticket.cost, true, now));
        double lowestTag =
                waiting.stream()
                        .filter(t -> t.workClass.name().equals(name))
                        .mapToDouble(t -> tags.get(key(t)))
                        .min()
                        .orElse(start);
        virtualTimes.merge(name, Math.min(start, lowestTag), Math::max);
    }

    @Override
    public void ended(Ticket ticket, boolean met, long now) {
        if (met || !overServed(ticket, now)) {
            ends.add(new Event(ticket.workClass.name(), ticket.request.account(), 1, met, now));
        }
    }

    @Override
    public boolean accepts(Ticket ticket, int capacity) {
        return true;
    }

    @Override
    public int size() {
        return waiting.size();
    }
}
