package hyssopturn.admit;

import hyssopturn.model.ClassName;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Budget of retries and hedges for each class, as a fraction of its first tries.
 *
 * <p>Each first try earns a tenth of a retry, up to a bound, so that retries add at most a tenth to
 * the load when all endpoints fail. A class starts with credit for one retry.
 */
public final class RetryBudget {
    /** First tries that earn one retry. */
    public static final int TRIES_PER_RETRY = 10;

    /** Greatest number of retries that a class can accumulate. */
    public static final int MAX_RETRIES = 50;

    private final Map<ClassName, Credit> credits = new ConcurrentHashMap<>();

    /** Creates budgets with the initial credit for each class. */
    public RetryBudget() {}

    /** Credit of one class, counted in first tries. */
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

        synchronized int remaining() {
            return tries / TRIES_PER_RETRY;
        }
    }

    /**
     * Records that a request is sent for the first time.
     *
     * @param workClass class of the request
     */
    public void recordFirstTry(ClassName workClass) {
        credit(workClass).earn();
    }

    /**
     * Takes one retry from the budget if the deadline has not passed and a retry is left.
     *
     * @param workClass class of the request
     * @param nowNanos time now, in nanoseconds
     * @param deadlineNanos deadline of the answer, in nanoseconds
     * @return true if the request may be sent again
     */
    public boolean tryRetry(ClassName workClass, long nowNanos, long deadlineNanos) {
        return nowNanos < deadlineNanos && credit(workClass).spend();
    }

    /**
     * Returns the number of retries that a class has left.
     *
     * @param workClass the class
     * @return number of retries
     */
    public int remaining(ClassName workClass) {
        return credit(workClass).remaining();
    }

    private Credit credit(ClassName workClass) {
        return credits.computeIfAbsent(workClass, name -> new Credit());
    }
}
