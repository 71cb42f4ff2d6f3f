package hyssopturn.relay;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the bytes of incomplete answers that a node holds, over all requests; not thread-safe.
 *
 * <p>When the limit is exceeded, the largest answers are discarded, so that endless ones do not
 * displace those of usual size.
 */
public final class AnswerMemory {
    private final long limitBytes;
    private final Set<Holding> holdings = new LinkedHashSet<>();
    private long heldBytes;

    /**
     * Creates the memory of a node.
     *
     * @param limitBytes maximum number of bytes of all incomplete answers
     */
    public AnswerMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** The bytes of one answer that are held. */
    final class Holding {
        private final Runnable discarded;
        private long bytes;

        private Holding(Runnable discarded) {
            this.discarded = discarded;
        }

        /** Sets the number of bytes that are held, which may discard this answer or others. */
        void resize(long size) {
            if (!holdings.contains(this)) {
                return;
            }
            heldBytes += size - bytes;
            bytes = size;
            discardLargest();
        }

        /** Ends the holding, since the answer is complete or has failed. */
        void release() {
            if (holdings.remove(this)) {
                heldBytes -= bytes;
            }
        }
    }

    /**
     * Starts to hold an answer.
     *
     * @param discarded is run when the answer must be discarded
     */
    Holding hold(Runnable discarded) {
        Holding holding = new Holding(discarded);
        holdings.add(holding);
        return holding;
    }

    /**
     * Returns the size of all incomplete answers.
     *
     * @return number of bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    private void discardLargest() {
        while (heldBytes > limitBytes) {
            Holding largest =
                    holdings.stream()
                            .max(Comparator.comparingLong(holding -> holding.bytes))
                            .orElseThrow();
            largest.release();
            largest.discarded.run();
        }
    }
}
