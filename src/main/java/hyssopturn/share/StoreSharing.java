package hyssopturn.share;

import hyssopturn.model.Address;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Decides whether this node reads the store for others, asks another node, or reads for itself.
 *
 * <p>Not thread-safe; runs on the thread of its clock.
 */
public final class StoreSharing {
    private final Address self;
    private final Duration interval;
    private final List<SharedFollower> followers;
    private final HolderReads holders;
    private final Clock clock;
    private final RandomGenerator random;
    private final ShareChannel channel;
    private final Consumer<String> listener;
    private final HubChoice choice;
    private final Hub hub;
    private final HubReader reader;
    private String role = "";
    private boolean opened;
    private boolean serving;
    private boolean stopped;

    /**
     * Creates an instance that has not started.
     *
     * @param self address at which other nodes reach this one
     * @param interval time between questions
     * @param followers the streams
     * @param holders reads of the holders of partitions
     * @param doubted supplies the names of endpoints whose next announcement matters although it
     *     may only repeat what is known
     * @param era supplies the era of the store
     * @param clock clock and timers
     * @param random source of the numbers of questions and their spread
     * @param channel sends messages to other nodes
     * @param listener receives a text whenever the role of this node has changed
     */
    public StoreSharing(
            Address self,
            Duration interval,
            List<SharedFollower> followers,
            HolderReads holders,
            Supplier<Collection<String>> doubted,
            Supplier<OptionalLong> era,
            Clock clock,
            RandomGenerator random,
            ShareChannel channel,
            Consumer<String> listener) {
        this.self = self;
        this.interval = interval;
        this.followers = List.copyOf(followers);
        this.holders = holders;
        this.clock = clock;
        this.random = random;
        this.channel = channel;
        this.listener = listener;
        choice = new HubChoice(self, clock);
        hub = new Hub(this.followers, holders, era, clock, channel);
        reader =
                new HubReader(
                        this.followers,
                        holders,
                        doubted,
                        era,
                        choice,
                        interval,
                        clock,
                        random,
                        channel);
    }

    /** Starts; the streams must have been started. */
    public void start() {
        clock.after(Duration.ofNanos(random.nextLong(interval.toNanos())), this::tick);
    }

    /** Stops asking and answering. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the number of nodes that asked this one a short time ago.
     *
     * @return the number
     */
    public int readers() {
        return hub.readers();
    }

    /**
     * Receives a message; those of unknown senders are dropped.
     *
     * @param sender address at which nodes reach the sender
     * @param message the message
     */
    public void receive(Address sender, ShareMessage message) {
        if (stopped) {
            return;
        }
        switch (message) {
            case ShareMessage.Question question when accepts(sender) -> {
                serve();
                hub.receive(sender, question);
            }
            case ShareMessage.Question question -> {
                // of no known node
            }
            case ShareMessage.Reply reply -> {
                if (!serving) {
                    reader.receive(sender, reply);
                }
            }
        }
    }

    /**
     * Nodes that hold no partition are not known, but there are none unless each holder has one.
     */
    private boolean accepts(Address sender) {
        Map<Integer, Address> known = holders.holders();
        return !sender.equals(self)
                && (known.containsValue(sender)
                        || (!known.isEmpty()
                                && new HashSet<>(known.values()).size() == known.size()));
    }

    private void tick() {
        if (stopped) {
            return;
        }
        clock.after(interval, this::tick);
        choice.update(holders.holders());
        if (choice.active() && !opened) {
            opened = true;
            channel.open();
        }
        if (choice.chosen() || hub.readers() > 0) {
            serve();
            tellRole("reads for others");
            return;
        }
        serving = false;
        followers.forEach(SharedFollower::readForItself);
        holders.readForItself();
        if (choice.active()) {
            reader.ask();
        } else {
            reader.stop();
        }
        tellRole(reader.asked().map(a -> "asks " + a).orElse("reads for itself"));
    }

    private void serve() {
        if (!serving) {
            serving = true;
            reader.stop();
        }
        followers.forEach(SharedFollower::readForOthers);
        holders.readForOthers(hub.holdersNeeded());
    }

    private void tellRole(String current) {
        if (!current.equals(role)) {
            role = current;
            listener.accept(role);
        }
    }
}
