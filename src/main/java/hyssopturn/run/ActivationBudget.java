package hyssopturn.run;

import hyssopturn.helper.Check;

import java.util.concurrent.atomic.AtomicLong;

/** Limit on the bytes that all runs of a node together keep as activations for replay. */
public final class ActivationBudget {
    private final long bytes;
    private final AtomicLong used = new AtomicLong();

    /**
     * Creates an unused budget.
     *
     * @param bytes size of the budget in bytes
     */
    public ActivationBudget(long bytes) {
        Check.that(bytes >= 0, "budget must not be negative");
        this.bytes = bytes;
    }

    boolean reserve(long size) {
        long before = used.getAndAdd(size);
        if (before + size <= bytes) {
            return true;
        }
        used.addAndGet(-size);
        return false;
    }

    void release(long size) {
        used.addAndGet(-size);
    }

    /**
     * Returns the number of bytes in use.
     *
     * @return bytes reserved
     */
    public long used() {
        return used.get();
    }
}
