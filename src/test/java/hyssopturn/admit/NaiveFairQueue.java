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

/** Fair order worked out anew from the whole history at each question. */
final class NaiveFairQueue implements WaitQueue {
    private static final double HALF_LIFE = 10e9;
    private static final double SERVED_HALF_LIFE = 30e9;

    private final List<Ticket> waiting = new ArrayList<>();
    private final List<Done> starts = new ArrayList<>();
    private final List<Done> ends = new ArrayList<>();
    private final Map<String, Double> tags = new HashMap<>();
    private final Map<ClassName, Double> virtual = new HashMap<>();
    private final Map<String, Ticket> seen = new HashMap<>();

    private record Done(ClassName name, AccountId account, double amount, boolean good, long at) {}

    private static String key(Ticket ticket) {
        return ticket.workClass.name() + "/" + ticket.ask.account();
    }

    private double virtual(Ticket ticket) {
        return virtual.getOrDefault(ticket.workClass.name(), 0.0);
    }

    @Override
    public void add(Ticket ticket) {
        boolean idle = waiting.stream().noneMatch(t -> key(t).equals(key(ticket)));
        if (idle) {
            double tag = tags.getOrDefault(key(ticket), 0.0);
            tags.put(key(ticket), Math.max(tag, virtual(ticket)));
        }
        seen.put(key(ticket), ticket);
        waiting.add(ticket);
    }

    @Override
    public boolean remove(Ticket ticket) {
        return waiting.remove(ticket);
    }

    @Override
    public Optional<Ticket> next(Supply supply) {
        if (Double.isInfinite(supply.perSecond())) {
            return mostUrgent();
        }
        return waiting.stream()
                .filter(t -> heads(t, supply.nowNanos()) == t)
                .min(
                        Comparator.<Ticket, Boolean>comparing(t -> over(t, supply.nowNanos()))
                                .thenComparingDouble(t -> attainment(t, supply.nowNanos()))
                                .thenComparing(Ticket.BY_LATEST_START));
    }

    /** The ticket that its class would start first. */
    private Ticket heads(Ticket any, long now) {
        return waiting.stream()
                .filter(t -> t.workClass.name().equals(any.workClass.name()))
                .min(
                        Comparator.<Ticket, Boolean>comparing(t -> over(t, now))
                                .thenComparingDouble(t -> tags.get(key(t)))
                                .thenComparing(t -> t.ask.account())
                                .thenComparing(Ticket.BY_LATEST_START))
                .orElseThrow();
    }

    private double attainment(Ticket ticket, long now) {
        ClassName name = ticket.workClass.name();
        double all = sum(ends, HALF_LIFE, now, d -> d.name().equals(name));
        double good = sum(ends, HALF_LIFE, now, d -> d.name().equals(name) && d.good());
        return (good + 1) / (all + 1) / ticket.workClass.share();
    }

    private boolean over(Ticket ticket, long now) {
        ClassName name = ticket.workClass.name();
        long accounts = seen.values().stream().filter(t -> t.workClass.name().equals(name)).count();
        double own =
                sum(
                        starts,
                        SERVED_HALF_LIFE,
                        now,
                        d -> d.name().equals(name) && d.account().equals(ticket.ask.account()));
        double share = sum(starts, SERVED_HALF_LIFE, now, d -> d.name().equals(name)) / accounts;
        return accounts >= 2 && seen.containsKey(key(ticket)) && own > 2.5 * share;
    }

    private static double sum(
            List<Done> history, double halfLife, long now, Predicate<Done> which) {
        return history.stream()
                .filter(which)
                .mapToDouble(d -> d.amount() * Math.pow(0.5, (now - d.at()) / halfLife))
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
        starts.add(new Done(name, ticket.ask.account(), ticket.cost, true, now));
        double least =
                waiting.stream()
                        .filter(t -> t.workClass.name().equals(name))
                        .mapToDouble(t -> tags.get(key(t)))
                        .min()
                        .orElse(start);
        virtual.merge(name, Math.min(start, least), Math::max);
    }

    @Override
    public void ended(Ticket ticket, boolean met, long now) {
        if (met || !over(ticket, now)) {
            ends.add(new Done(ticket.workClass.name(), ticket.ask.account(), 1, met, now));
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
