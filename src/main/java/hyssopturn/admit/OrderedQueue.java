package hyssopturn.admit;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/** Queue with one order over the requests of all classes and accounts. */
final class OrderedQueue implements WaitQueue {
    private final TreeSet<Ticket> byOrder;
    private final TreeSet<Ticket> byLatestStart = new TreeSet<>(Ticket.BY_LATEST_START);

    OrderedQueue(Comparator<Ticket> order) {
        byOrder = new TreeSet<>(order);
    }

    @Override
    public void add(Ticket ticket) {
        byOrder.add(ticket);
        byLatestStart.add(ticket);
    }

    @Override
    public boolean remove(Ticket ticket) {
        byLatestStart.remove(ticket);
        return byOrder.remove(ticket);
    }

    @Override
    public Optional<Ticket> next(Supply supply) {
        return byOrder.isEmpty() ? Optional.empty() : Optional.of(byOrder.first());
    }

    @Override
    public Optional<Ticket> mostUrgent() {
        return byLatestStart.isEmpty() ? Optional.empty() : Optional.of(byLatestStart.first());
    }

    @Override
    public boolean accepts(Ticket ticket, int capacity) {
        return size() < capacity;
    }

    @Override
    public int size() {
        return byOrder.size();
    }
}
