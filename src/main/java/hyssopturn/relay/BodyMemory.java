package hyssopturn.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the bytes of callers' bodies that a node holds, over all requests; not thread-safe.
 *
 * <p>Large bodies leave a part of the memory to small ones, and one sender leaves a part to the
 * others. A body is refused at once rather than kept waiting, since another node may have room.
 */
public final class BodyMemory {
    /** Size up to which a body is small, in bytes. */
    static final int SMALL_BYTES = 65_536;

    /** Part of the memory that large bodies may use; a body is no larger than an array. */
    private static final double LARGE_SHARE = 0.75;

    /** Part of the memory that the bodies of one sender may use, unless it is a single body. */
    private static final double SENDER_SHARE = 0.5;

    private final long limitBytes;
    private final long largeLimitBytes;
    private final long senderLimitBytes;
    private final Map<Object, Long> bytesBySender = new HashMap<>();
    private final Map<Object, Long> smallBytesBySender = new HashMap<>();
    private final CallerMemory callers;
    private long heldBytes;
    private long largeBytes;

    /**
     * Creates a memory of its own.
     *
     * @param limitBytes maximum number of bytes of all bodies
     */
    public BodyMemory(long limitBytes) {
        this(limitBytes, new CallerMemory(Long.MAX_VALUE));
    }

    /**
     * Creates the memory of a node.
     *
     * @param limitBytes maximum number of bytes of all bodies
     * @param callers memory of all that callers occupy, of which bodies are a part
     */
    public BodyMemory(long limitBytes, CallerMemory callers) {
        this.limitBytes = limitBytes;
        this.callers = callers;
        largeLimitBytes = Math.min(Integer.MAX_VALUE, (long) (limitBytes * LARGE_SHARE));
        senderLimitBytes = (long) (limitBytes * SENDER_SHARE);
    }

    /**
     * Returns the size of all bodies.
     *
     * @return number of bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Starts to hold a body without any bytes.
     *
     * @param sender client account or connection that sends the body
     */
    Holding hold(Object sender) {
        return new Holding(sender);
    }

    /** The bytes of one body that are held. */
    final class Holding {
        private final Object sender;
        private final List<Sending> sendings = new ArrayList<>();
        private long bytes;
        private boolean released;

        private Holding(Object sender) {
            this.sender = sender;
        }

        /**
         * Sets the number of bytes that are held, unless they do not fit.
         *
         * @return false if they do not fit, in which case nothing has changed
         */
        boolean resize(long size) {
            if (released) {
                return false;
            }
            if (!fits(size)) {
                callers.relieve();
                if (!fits(size)) {
                    return false;
                }
            }
            if (!callers.acquire(size - bytes)) {
                return false;
            }
            count(size);
            return true;
        }

        /**
         * Keeps the bytes held while they are sent to an endpoint, also after the release.
         *
         * @param cancel ends the sending, if it has not ended
         */
        Sending send(Runnable cancel) {
            Sending sending = new Sending(this, cancel);
            sendings.add(sending);
            return sending;
        }

        /** Returns whether the bytes are being sent. */
        boolean sending() {
            return !sendings.isEmpty();
        }

        /** Ends all sendings. */
        void cancel() {
            List.copyOf(sendings).forEach(Sending::cancel);
        }

        /** Ends the holding, as soon as the bytes are not being sent. */
        void release() {
            released = true;
            freeIfUnused();
        }

        private void ended(Sending sending) {
            sendings.remove(sending);
            freeIfUnused();
        }

        private void freeIfUnused() {
            if (released && sendings.isEmpty()) {
                callers.add(-bytes);
                count(0);
            }
        }

        private boolean fits(long size) {
            long others = heldBytes - bytes;
            long othersLarge = largeBytes - large(bytes);
            return others + size <= limitBytes
                    && othersLarge + large(size) <= largeLimitBytes
                    && fitsSender(size);
        }

        /** Returns whether a sender's part has room; large bodies leave its small ones theirs. */
        private boolean fitsSender(long size) {
            long small = smallBytesBySender.getOrDefault(sender, 0L) - small(bytes);
            long all = bytesBySender.getOrDefault(sender, 0L) - bytes;
            long counted = size > SMALL_BYTES ? all : small;
            return counted == 0 || counted + size <= senderLimitBytes;
        }

        private void count(long size) {
            heldBytes += size - bytes;
            largeBytes += large(size) - large(bytes);
            add(bytesBySender, size - bytes);
            add(smallBytesBySender, small(size) - small(bytes));
            bytes = size;
        }

        private void add(Map<Object, Long> bySender, long change) {
            bySender.merge(sender, change, Long::sum);
            bySender.remove(sender, 0L);
        }
    }

    /** The bytes of a body on their way to one endpoint. */
    static final class Sending {
        private final Holding holding;
        private final Runnable cancel;

        private Sending(Holding holding, Runnable cancel) {
            this.holding = holding;
            this.cancel = cancel;
        }

        /** Records that the bytes have been sent, or will not be. */
        void end() {
            holding.ended(this);
        }

        private void cancel() {
            cancel.run();
        }
    }

    private static long small(long size) {
        return size > SMALL_BYTES ? 0 : size;
    }

    private static long large(long size) {
        return size > SMALL_BYTES ? size : 0;
    }
}
