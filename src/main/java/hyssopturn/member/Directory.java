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

/** Keeps the view of other instances: reads, polls, sends and receives as membership decides. */
public final class Directory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(200);
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
     * Creates a directory that has not started.
     *
     * @param settings its settings
     * @param list the instance list
     * @param engines reads reports
     * @param link links to other nodes
     * @param codec wire form of messages
     * @param config configuration of this node
     * @param clock time
     * @param random source of random numbers
     * @param events records changes
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

    /** Starts reading, polling and exchanging. */
    public void start() {
        link.receiver(PeerLink.Topic.MEMBER, this::received);
        readList();
        tick();
    }

    /** Stops at once. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the view.
     *
     * @return the latest view
     */
    public View view() {
        return view;
    }

    /**
     * Notes that an endpoint failed or fell silent; it gets no new work of this node for a while.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; evidence on another one is ignored
     */
    public void suspect(InstanceId id, long incarnation) {
        Optional<Instance> news;
        synchronized (lock) {
            news = membership.suspect(id, incarnation, clock.nanos());
        }
        news.ifPresent(
                endpoint -> {
                    note(id, "suspect");
                    if (endpoint.role() instanceof Instance.Role.Engine) {
                        poll(endpoint);
                    }
                });
        flush();
    }

    /**
     * Notes that an instance takes no new work, which is final for its incarnation everywhere.
     *
     * @param id the instance, possibly this node itself
     * @param incarnation its incarnation; evidence on another one is ignored
     */
    public void leaving(InstanceId id, long incarnation) {
        synchronized (lock) {
            membership.leaving(id, incarnation, clock.nanos());
        }
        flush();
    }

    /**
     * Notes that an endpoint answered, which ends a suspicion but not its leaving.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; evidence on another one is ignored
     */
    public void alive(InstanceId id, long incarnation) {
        synchronized (lock) {
            membership.alive(id, incarnation);
        }
        flush();
    }

    /**
     * Tells where a node accepts links.
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
            polls.addAll(membership.polls(now));
        }
        polls.forEach(this::poll);
        flush(true);
        clock.after(TICK, this::tick);
    }

    private void received(InstanceId from, Bytes bytes) {
        Optional<Message> message = codec.decode(bytes);
        if (message.isEmpty() || stopped) {
            return;
        }
        Optional<Bytes> document;
        List<Instance> polls;
        synchronized (lock) {
            document = membership.receive(from, message.get(), clock.nanos());
            polls = membership.askedPolls();
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
                                listed(all);
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

    private void listed(List<Instance> all) {
        synchronized (lock) {
            membership.listed(all, clock.nanos());
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
                                polled(engine, Optional.empty());
                            }
                        });
        engines.report(engine.address())
                .whenComplete(
                        (report, error) -> {
                            if (done.compareAndSet(false, true)) {
                                timeout.cancel();
                                polled(engine, Optional.ofNullable(report));
                            }
                        });
    }

    private void polled(Instance engine, Optional<EngineReport> report) {
        synchronized (lock) {
            long now = clock.nanos();
            if (report.isPresent()) {
                membership.answered(engine, report.get(), now);
            } else {
                membership.unanswered(engine, now);
            }
        }
        flush();
    }

    private void flush() {
        flush(false);
    }

    private void flush(boolean tick) {
        List<Outbox.Letter> letters;
        List<Roster.Change> changes;
        synchronized (lock) {
            membership.changedView(tick, clock.nanos()).ifPresent(v -> view = v);
            letters = membership.outbox().drain();
            changes = membership.roster().drainChanges();
        }
        letters.forEach(l -> link.send(l.to(), PeerLink.Topic.MEMBER, l.message()));
        changes.forEach(c -> note(c.instance(), c.state()));
    }

    private void note(InstanceId id, String state) {
        logger.atInfo().log("instance=%s state=%s", id, state);
        events.record(new Detail.InstanceChanged(id, state));
    }

    /** Decisions and state, for tests and measurements. */
    Membership membership() {
        return membership;
    }
}
