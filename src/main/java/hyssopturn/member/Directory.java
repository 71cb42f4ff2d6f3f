package hyssopturn.member;

import com.google.common.flogger.FluentLogger;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;
import hyssopturn.port.InstanceList;
import hyssopturn.port.PeerLink;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

/**
 * Maintains this node's view of other instances.
 *
 * <p>Performs the I/O that {@link Membership} decides on: reads the instance list, polls engines
 * and exchanges messages with other nodes.
 */
public final class Directory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(5);

    private final InstanceList list;
    private final EngineClient engines;
    private final PeerLink link;
    private final MessageCodec codec;
    private final ConfigSource config;
    private final Clock clock;
    private final RandomGenerator random;
    private final EventRing events;
    private final Object lock = new Object();
    private final Membership membership;
    private volatile View view = View.EMPTY;
    private volatile boolean stopped;

    /**
     * Creates a directory; {@link #start} starts it.
     *
     * @param settings settings of membership
     * @param list the instance list
     * @param engines client that reads reports of engines
     * @param link links to other nodes
     * @param codec codec of messages
     * @param config configuration of this node
     * @param clock clock and timers
     * @param random source of random numbers
     * @param events event buffer in which changes of instances are recorded
     */
    public Directory(
            MemberSettings settings,
            InstanceList list,
            EngineClient engines,
            PeerLink link,
            MessageCodec codec,
            ConfigSource config,
            Clock clock,
            RandomGenerator random,
            EventRing events) {
        this.list = list;
        this.engines = engines;
        this.link = link;
        this.codec = codec;
        this.config = config;
        this.clock = clock;
        this.random = random;
        this.events = events;
        membership = new Membership(settings, codec, config, random, clock.nanos());
    }

    /** Starts reading the list, polling engines and exchanging messages. */
    public void start() {
        link.setReceiver(PeerLink.Topic.MEMBER, this::receive);
        readList();
        tick();
    }

    /** Stops without waiting for calls in progress. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the latest view.
     *
     * @return the view
     */
    public View view() {
        return view;
    }

    /**
     * Records that an endpoint failed or timed out; this node sends no new work to the endpoint
     * until a backoff has passed.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; the call has no effect for any but the current one
     */
    public void markSuspect(InstanceId id, long incarnation) {
        Optional<Instance> suspected;
        synchronized (lock) {
            suspected = membership.markSuspect(id, incarnation, clock.nanos());
        }
        suspected.ifPresent(
                endpoint -> {
                    recordChange(id, "suspect");
                    if (endpoint.role() instanceof Instance.Role.Engine) {
                        poll(endpoint);
                    }
                });
        flush();
    }

    /**
     * Records that an instance accepts no new work, which is final for its incarnation on all
     * nodes.
     *
     * @param id the instance, possibly this node itself
     * @param incarnation its incarnation; the call has no effect for any but the current one
     */
    public void markLeaving(InstanceId id, long incarnation) {
        synchronized (lock) {
            membership.markLeaving(id, incarnation, clock.nanos());
        }
        flush();
    }

    /**
     * Records that an endpoint answered, which clears a suspicion but not its leaving state.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; the call has no effect for any but the current one
     */
    public void markAlive(InstanceId id, long incarnation) {
        synchronized (lock) {
            membership.markAlive(id, incarnation);
        }
        flush();
    }

    /**
     * Returns the address at which a node accepts links.
     *
     * @param node the node
     * @return its address for links, empty if it is not listed
     */
    public Optional<Address> peerAddress(InstanceId node) {
        synchronized (lock) {
            return membership
                    .roster()
                    .listing(node)
                    .map(Instance::role)
                    .filter(Instance.Role.Node.class::isInstance)
                    .map(role -> ((Instance.Role.Node) role).peers());
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        List<Instance> polls = new ArrayList<>();
        synchronized (lock) {
            long now = clock.nanos();
            membership.tick(now);
            polls.addAll(membership.duePolls(now));
        }
        polls.forEach(this::poll);
        flush(true);
        clock.after(TICK_INTERVAL, this::tick);
    }

    private void receive(InstanceId from, Bytes bytes) {
        Optional<Message> message = codec.decode(bytes);
        if (message.isEmpty() || stopped) {
            return;
        }
        Optional<Bytes> document;
        List<Instance> polls;
        synchronized (lock) {
            document = membership.receive(from, message.get(), clock.nanos());
            polls = membership.requestedPolls();
        }
        document.ifPresent(config::offer);
        polls.forEach(this::poll);
        flush();
    }

    private void readList() {
        if (stopped) {
            return;
        }
        AtomicBoolean done = new AtomicBoolean();
        Runnable next =
                () -> {
                    if (done.compareAndSet(false, true)) {
                        clock.after(listDelay(), this::readList);
                    }
                };
        clock.after(LIST_TIMEOUT, next);
        list.list()
                .whenComplete(
                        (all, error) -> {
                            if (error == null && !stopped) {
                                mergeList(all);
                            }
                            next.run();
                        });
    }

    private Duration listDelay() {
        synchronized (lock) {
            long nanos = membership.listInterval().toNanos();
            return Duration.ofNanos(nanos * 3 / 4 + random.nextLong(nanos / 2));
        }
    }

    private void mergeList(List<Instance> all) {
        synchronized (lock) {
            membership.mergeList(all, clock.nanos());
        }
        flush();
    }

    private void poll(Instance engine) {
        AtomicBoolean done = new AtomicBoolean();
        Clock.Timer timeout =
                clock.after(
                        POLL_TIMEOUT,
                        () -> {
                            if (done.compareAndSet(false, true)) {
                                recordPoll(engine, Optional.empty());
                            }
                        });
        engines.report(engine.address())
                .whenComplete(
                        (report, error) -> {
                            if (done.compareAndSet(false, true)) {
                                timeout.cancel();
                                recordPoll(engine, Optional.ofNullable(report));
                            }
                        });
    }

    private void recordPoll(Instance engine, Optional<EngineReport> report) {
        synchronized (lock) {
            long now = clock.nanos();
            if (report.isPresent()) {
                membership.recordReport(engine, report.get(), now);
            } else {
                membership.recordPollFailure(engine, now);
            }
        }
        flush();
    }

    private void flush() {
        flush(false);
    }

    private void flush(boolean tick) {
        List<Outbox.OutgoingMessage> messages;
        List<Roster.Change> changes;
        synchronized (lock) {
            membership.changedView(tick, clock.nanos()).ifPresent(v -> view = v);
            messages = membership.outbox().drain();
            changes = membership.roster().drainChanges();
        }
        messages.forEach(m -> link.send(m.to(), PeerLink.Topic.MEMBER, m.message()));
        changes.forEach(c -> recordChange(c.instance(), c.state()));
    }

    private void recordChange(InstanceId id, String state) {
        logger.atInfo().log("instance=%s state=%s", id, state);
        events.record(new Detail.InstanceChanged(id, state));
    }

    /** Returns decisions and state, for tests and measurements. */
    Membership membership() {
        return membership;
    }
}
