package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.PeerLink;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;

/** Links between nodes in memory, which lose, delay, double and cut messages. */
public final class MemoryPeers {
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<InstanceId, Map<PeerLink.Topic, BiConsumer<InstanceId, Bytes>>> receivers =
            new HashMap<>();
    private Duration least = Duration.ZERO;
    private Duration greatest = Duration.ZERO;
    private double loss;
    private double duplication;
    private BiPredicate<InstanceId, InstanceId> cut = (from, to) -> false;
    private Watcher watcher = (from, to, bytes) -> {};

    /** Sees every message that is sent. */
    @FunctionalInterface
    public interface Watcher {
        /**
         * Notes a message.
         *
         * @param from its sender
         * @param to its receiver
         * @param bytes its size, in bytes
         */
        void sent(InstanceId from, InstanceId to, int bytes);
    }

    /**
     * Creates perfect links.
     *
     * @param clock time
     * @param random decides what is lost, doubled and late
     */
    public MemoryPeers(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /**
     * Sets how long messages take.
     *
     * @param newLeast least time
     * @param newGreatest greatest time
     */
    public void delay(Duration newLeast, Duration newGreatest) {
        least = newLeast;
        greatest = newGreatest;
    }

    /**
     * Sets what goes wrong.
     *
     * @param newLoss share of messages that are lost
     * @param newDuplication share of messages that come twice
     */
    public void faults(double newLoss, double newDuplication) {
        loss = newLoss;
        duplication = newDuplication;
    }

    /**
     * Sets who cannot reach whom.
     *
     * @param newCut tells for sender and receiver whether messages are lost
     */
    public void cut(BiPredicate<InstanceId, InstanceId> newCut) {
        cut = newCut;
    }

    /**
     * Sets who sees the messages.
     *
     * @param newWatcher sees every message that is sent
     */
    public void watch(Watcher newWatcher) {
        watcher = newWatcher;
    }

    /**
     * Takes a node off, so that it gets no messages.
     *
     * @param id the node
     */
    public void remove(InstanceId id) {
        receivers.remove(id);
    }

    /**
     * Returns the links of a node.
     *
     * @param self the node
     * @return its links
     */
    public PeerLink link(InstanceId self) {
        Map<PeerLink.Topic, BiConsumer<InstanceId, Bytes>> own =
                new EnumMap<>(PeerLink.Topic.class);
        receivers.put(self, own);
        return new PeerLink() {
            @Override
            public boolean send(InstanceId to, Topic topic, Bytes message) {
                MemoryPeers.this.send(self, to, topic, message);
                return true;
            }

            @Override
            public void setReceiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver) {
                own.put(topic, receiver);
            }
        };
    }

    private void send(InstanceId from, InstanceId to, PeerLink.Topic topic, Bytes message) {
        watcher.sent(from, to, message.size());
        if (random.nextDouble() < loss) {
            return;
        }
        deliver(from, to, topic, message);
        if (random.nextDouble() < duplication) {
            deliver(from, to, topic, message);
        }
    }

    private void deliver(InstanceId from, InstanceId to, PeerLink.Topic topic, Bytes message) {
        long spread = greatest.minus(least).toNanos();
        long late = spread == 0 ? 0 : random.nextLong(spread);
        clock.after(least.plusNanos(late), () -> arrive(from, to, topic, message));
    }

    private void arrive(InstanceId from, InstanceId to, PeerLink.Topic topic, Bytes message) {
        Map<PeerLink.Topic, BiConsumer<InstanceId, Bytes>> receiver = receivers.get(to);
        if (receiver == null || cut.test(from, to) || !receiver.containsKey(topic)) {
            return;
        }
        receiver.get(topic).accept(from, message);
    }
}
