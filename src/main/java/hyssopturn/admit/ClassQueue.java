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
 * <p>An account's tag grows by the cost of each of its requests that starts; the account with the
 * lowest tag is served next. The tags of accounts without waiting requests are kept in a table of
 * bounded size.
 */
final class ClassQueue {
    static final int MAX_IDLE_ACCOUNTS = 4_096;
    private static final long ATTAINMENT_HALF_LIFE_NANOS = 10_000_000_000L;
    private static final long SERVED_HALF_LIFE_NANOS = 30_000_000_000L;
    private static final long IDLE_RETENTION_NANOS = 2 * SERVED_HALF_LIFE_NANOS;
    private static final double OVER_SERVED_FACTOR = 2.5;

    private final Map<AccountId, AccountQueue> active = new HashMap<>();
    private final LinkedHashMap<AccountId, AccountQueue> idle = new LinkedHashMap<>();
    private final TreeSet<AccountQueue> byTag = new TreeSet<>(AccountQueue.BY_TAG);
    private final DecayingSum metCount = new DecayingSum(ATTAINMENT_HALF_LIFE_NANOS);
    private final DecayingSum endedCount = new DecayingSum(ATTAINMENT_HALF_LIFE_NANOS);
    private final DecayingSum servedCost = new DecayingSum(SERVED_HALF_LIFE_NANOS);
    private double virtualTime;

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
        active.computeIfAbsent(ticket.request.account(), this::activate).waiting.add(ticket);
    }

    private AccountQueue activate(AccountId account) {
        AccountQueue queue = idle.remove(account);
        if (queue == null) {
            queue = new AccountQueue(account, virtualTime, SERVED_HALF_LIFE_NANOS);
        }
        queue.tag = Math.max(queue.tag, virtualTime);
        byTag.add(queue);
        return queue;
    }

    boolean remove(Ticket ticket) {
        AccountQueue queue = active.get(ticket.request.account());
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
        if (idle.size() > MAX_IDLE_ACCOUNTS) {
            removeEldestIdle();
        }
    }

    private void removeEldestIdle() {
        Iterator<AccountQueue> eldest = idle.values().iterator();
        eldest.next();
        eldest.remove();
    }

    /** Removes idle accounts that were not served for {@link #IDLE_RETENTION_NANOS}. */
    private void removeExpiredIdle(long nowNanos) {
        while (!idle.isEmpty()
                && idle.firstEntry().getValue().servedCost.ageNanos(nowNanos)
                        > IDLE_RETENTION_NANOS) {
            removeEldestIdle();
        }
    }

    /**
     * Returns the first waiting request of the account with the lowest tag; over-served accounts
     * are passed over unless only such accounts wait. At least one request must be waiting.
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
        AccountId account = ticket.request.account();
        AccountQueue queue = active.get(account);
        if (queue == null) {
            queue = idle.get(account);
        }
        if (queue == null) {
            return;
        }
        removeExpiredIdle(nowNanos);
        boolean isActive = active.containsKey(account);
        if (isActive) {
            byTag.remove(queue);
        }
        double start = queue.tag;
        queue.tag += ticket.cost;
        queue.servedCost.add(ticket.cost, nowNanos);
        servedCost.add(ticket.cost, nowNanos);
        if (isActive) {
            byTag.add(queue);
        }
        double lowestTag = byTag.isEmpty() ? start : Math.min(start, byTag.first().tag);
        virtualTime = Math.max(virtualTime, lowestTag);
    }

    /** Counts an ended request; a failure of an over-served account is not counted. */
    void ended(Ticket ticket, boolean success, long nowNanos) {
        if (!success && overServed(ticket.request.account(), nowNanos)) {
            return;
        }
        endedCount.add(1, nowNanos);
        metCount.add(success ? 1 : 0, nowNanos);
    }

    /**
     * Returns whether an account is over-served: its recent cost is above {@link
     * #OVER_SERVED_FACTOR} times an equal share.
     */
    boolean overServed(AccountId account, long nowNanos) {
        AccountQueue queue = active.getOrDefault(account, idle.get(account));
        int accounts = active.size() + idle.size();
        if (queue == null || accounts < 2) {
            return false;
        }
        double share = servedCost.value(nowNanos) / accounts;
        return queue.servedCost.value(nowNanos) > OVER_SERVED_FACTOR * share;
    }

    /** Returns the recent share of ended requests that met the target, 1 while none has ended. */
    double attainment(long nowNanos) {
        return (metCount.value(nowNanos) + 1) / (endedCount.value(nowNanos) + 1);
    }
}
