package hyssopturn.admit;

import hyssopturn.model.ClassName;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Budget of retries and hedges for each class, as a part of its first tries.
 *
 * <p>Each first try earns a tenth of a retry, up to a bound, so that a fault which makes all
 * endpoints fail adds at most a tenth to the load. A class starts with credit for one retry.
 */
public final class RetryBudget {
    /** First tries that earn one retry. */
    public static final int TRIES_PER_RETRY = 10;

    /** Greatest number of retries that a class saves up. */
    public static final int MAX_RETRIES = 50;

    private final Map<ClassName, Credit> credits = new ConcurrentHashMap<>();

    /** Creates budgets that have seen nothing. */
    public RetryBudget() {}

    private static final class Credit {
        private int tries = TRIES_PER_RETRY;

        synchronized void earn() {
            tries = Math.min(MAX_RETRIES * TRIES_PER_RETRY, tries + 1);
        }

        synchronized boolean spend() {
            if (tries < TRIES_PER_RETRY) {
                return false;
            }
            tries -= TRIES_PER_RETRY;
            return true;
        }

        synchronized int left() {
            return tries / TRIES_PER_RETRY;
        }
    }

    /**
     * Notes that a request is sent for the first time.
     *
     * @param workClass class of the request
     */
    public void firstTry(ClassName workClass) {
        credit(workClass).earn();
    }

    /**
     * Asks to send a request once more.
     *
     * @param workClass class of the request
     * @param nowNanos time now
     * @param deadlineNanos time by which the answer is of use
     * @return true if it may be sent, which uses up one retry
     */
    public boolean tryRetry(ClassName workClass, long nowNanos, long deadlineNanos) {
        return nowNanos < deadlineNanos && credit(workClass).spend();
    }

    /**
     * Returns how many retries a class has left.
     *
     * @param workClass the class
     * @return number of retries
     */
    public int left(ClassName workClass) {
        return credit(workClass).left();
    }

    private Credit credit(ClassName workClass) {
        return credits.computeIfAbsent(workClass, name -> new Credit());
    }
}
