package hyssopturn.admit;

import hyssopturn.model.AccountId;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Waiting requests of one class, shared evenly over accounts by served cost (start-time fair
 * queueing).
 *
 * <p>An account's tag grows by the cost of each request that starts; the account with the lowest
 * tag goes next. Accounts that wait for nothing keep their tag in a bounded table only.
 */
final class ClassQueue {
    static final int MAX_IDLE = 4_096;
    private static final long HALF_LIFE_NANOS = 10_000_000_000L;
    private static final long SERVED_HALF_LIFE_NANOS = 30_000_000_000L;
    private static final long FORGET_NANOS = 2 * SERVED_HALF_LIFE_NANOS;
    private static final double OVER_SERVED = 2.5;

    private final Map<AccountId, AccountQueue> active = new HashMap<>();
    private final LinkedHashMap<AccountId, AccountQueue> idle = new LinkedHashMap<>();
    private final TreeSet<AccountQueue> byTag = new TreeSet<>(AccountQueue.BY_TAG);
    private final Decayed met = new Decayed(HALF_LIFE_NANOS);
    private final Decayed ended = new Decayed(HALF_LIFE_NANOS);
    private final Decayed served = new Decayed(SERVED_HALF_LIFE_NANOS);
    private double virtual;

    boolean isEmpty() {
        return active.isEmpty();
    }

    int idleAccounts() {
        return idle.size();
    }

    int waitingOf(AccountId account) {
        AccountQueue queue = active.get(account);
        return queue == null ? 0 : queue.waiting.size();
    }

    void add(Ticket ticket) {
        active.computeIfAbsent(ticket.ask.account(), this::activate).waiting.add(ticket);
    }

    private AccountQueue activate(AccountId account) {
        AccountQueue queue = idle.remove(account);
        if (queue == null) {
            queue = new AccountQueue(account, virtual, SERVED_HALF_LIFE_NANOS);
        }
        queue.tag = Math.max(queue.tag, virtual);
        byTag.add(queue);
        return queue;
    }

    boolean remove(Ticket ticket) {
        AccountQueue queue = active.get(ticket.ask.account());
        if (queue == null || !queue.waiting.remove(ticket)) {
            return false;
        }
        if (queue.waiting.isEmpty()) {
            deactivate(queue);
        }
        return true;
    }

    private void deactivate(AccountQueue queue) {
        active.remove(queue.account);
        byTag.remove(queue);
        idle.put(queue.account, queue);
        if (idle.size() > MAX_IDLE) {
            forgetEldest();
        }
    }

    private void forgetEldest() {
        Iterator<AccountQueue> eldest = idle.values().iterator();
        eldest.next();
        eldest.remove();
    }

    /** Forgets accounts that were not served for long. */
    private void prune(long nowNanos) {
        while (!idle.isEmpty()
                && idle.firstEntry().getValue().served.ageNanos(nowNanos) > FORGET_NANOS) {
            forgetEldest();
        }
    }

    /**
     * Returns the first request of the account that was served least, of those that have not had
     * more than their share if any such waits; one must be waiting.
     */
    Ticket head(long nowNanos) {
        for (AccountQueue queue : byTag) {
            if (!overServed(queue.account, nowNanos)) {
                return queue.waiting.first();
            }
        }
        return byTag.first().waiting.first();
    }

    /** Charges the account of a request that starts. */
    void started(Ticket ticket, long nowNanos) {
        AccountId account = ticket.ask.account();
        AccountQueue queue = active.get(account);
        if (queue == null) {
            queue = idle.get(account);
        }
        if (queue == null) {
            return;
        }
        prune(nowNanos);
        boolean waits = active.containsKey(account);
        if (waits) {
            byTag.remove(queue);
        }
        double start = queue.tag;
        queue.tag += ticket.cost;
        queue.served.add(ticket.cost, nowNanos);
        served.add(ticket.cost, nowNanos);
        if (waits) {
            byTag.add(queue);
        }
        double least = byTag.isEmpty() ? start : Math.min(start, byTag.first().tag);
        virtual = Math.max(virtual, least);
    }

    /** Counts a request that ended, unless its account has had more than its share. */
    void ended(Ticket ticket, boolean success, long nowNanos) {
        if (!success && overServed(ticket.ask.account(), nowNanos)) {
            return;
        }
        ended.add(1, nowNanos);
        met.add(success ? 1 : 0, nowNanos);
    }

    /** Tells whether an account has had more than its share. */
    boolean overServed(AccountId account, long nowNanos) {
        AccountQueue queue = active.getOrDefault(account, idle.get(account));
        int accounts = active.size() + idle.size();
        if (queue == null || accounts < 2) {
            return false;
        }
        double share = served.value(nowNanos) / accounts;
        return queue.served.value(nowNanos) > OVER_SERVED * share;
    }

    /** Returns the recent share of requests that met the target, 1 while none ended. */
    double attainment(long nowNanos) {
        return (met.value(nowNanos) + 1) / (ended.value(nowNanos) + 1);
    }
}
