package hyssopturn.admit;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/** Queue in one order over all classes and accounts. */
final class OrderedQueue implements WaitQueue {
    private final TreeSet<Ticket> byOrder;
    private final TreeSet<Ticket> byStart = new TreeSet<>(Ticket.BY_LATEST_START);

    OrderedQueue(Comparator<Ticket> order) {
        byOrder = new TreeSet<>(order);
    }

    @Override
    public void add(Ticket ticket) {
        byOrder.add(ticket);
        byStart.add(ticket);
    }

    @Override
    public boolean remove(Ticket ticket) {
        byStart.remove(ticket);
        return byOrder.remove(ticket);
    }

    @Override
    public Optional<Ticket> next(Supply supply) {
        return byOrder.isEmpty() ? Optional.empty() : Optional.of(byOrder.first());
    }

    @Override
    public Optional<Ticket> mostUrgent() {
        return byStart.isEmpty() ? Optional.empty() : Optional.of(byStart.first());
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
