package hyssopturn.node;

import hyssopturn.fleet.FaultReport;
import hyssopturn.limit.EndpointLimits;
import hyssopturn.log.Backoff;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Bytes;
import hyssopturn.peer.ShareSocket;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.port.Clock;
import hyssopturn.relay.RoutingState;
import hyssopturn.share.SharedFollower;
import hyssopturn.share.SharedStream;
import hyssopturn.share.StoreSharing;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.vertx.core.Vertx;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.ToDoubleFunction;

/** Reads what a node needs from the platform's store, or lets other nodes read it. */
final class StoreReading {
    /** Maximum backoff, before jitter, between attempts to read a stream. */
    private static final Duration MAX_READ_BACKOFF = Duration.ofMillis(300);

    /** Long-poll wait for fault reports, and so how long a dead connection may hide them. */
    private static final Duration FAULT_READ_WAIT = Duration.ofSeconds(15);

    /** Pause between reads of fault reports, since several nodes usually report the same fault. */
    private static final Duration FAULT_READ_PAUSE = Duration.ofMillis(100);

    /** Time to detect that a read was lost and to retry it. */
    private static final Duration LOST_READ_MARGIN = Duration.ofSeconds(1);

    /** Minimum interval between reads of a stream, however short the platform's bounds are. */
    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(250);

    /** Maximum time between questions to a node that reads the store. */
    private static final Duration MAX_QUESTION_INTERVAL = Duration.ofMillis(400);

    /**
     * Number of questions in the interval at which a node reads endpoints itself. Two intervals
     * between a hub's reads, a lost question and its repetition take four of five.
     */
    private static final int QUESTIONS_PER_READ = 5;

    private static final int HUB_READ_QUESTIONS = 2;

    /** Part of a long poll after which a hub's one ends, as a divisor. */
    private static final int HUB_WAIT_DIVISOR = 2;

    /** Same for fault reports; the age of an answer that holds one counts from the question. */
    private static final int HUB_FAULT_WAIT_DIVISOR = 3;

    private static final double NANOS_PER_SECOND = 1e9;

    private final PlatformSettings platform;
    private final PlatformAdapter adapter;
    private final RoutingState knowledge;
    private final Clock clock;
    private final TraceLog trace;
    private final List<SharedFollower> followers;
    private final IssuerReader issuers;
    private final StoreSharing sharing;

    StoreReading(
            Vertx vertx,
            PlatformSettings platform,
            PlatformAdapter adapter,
            RoutingState knowledge,
            FaultStreamListener faults,
            EndpointLimits limits,
            Clock clock,
            TraceLog trace,
            MeterRegistry meters) {
        this.platform = platform;
        this.adapter = adapter;
        this.knowledge = knowledge;
        this.clock = clock;
        this.trace = trace;
        followers = List.of(config(), endpoints(), faults(faults));
        issuers = new IssuerReader(adapter.duties(), limits, clock);
        ShareSocket socket = new ShareSocket(vertx, platform.peers());
        sharing =
                new StoreSharing(
                        platform.peers(),
                        questionInterval(),
                        followers,
                        issuers,
                        this::suspectedEndpoints,
                        adapter.log()::era,
                        clock,
                        new SplittableRandom(),
                        socket,
                        role -> trace.record(new TraceEvent.Dependency("store", "shared", role)));
        socket.receiver(sharing::receive);
        register(meters);
    }

    /** Starts to read all streams. */
    void start() {
        followers.forEach(SharedFollower::start);
        issuers.start();
        sharing.start();
    }

    /** Stops reading. */
    void stop() {
        sharing.stop();
        followers.forEach(SharedFollower::stop);
    }

    /** Reads all streams anew, since the store has returned from an older copy. */
    void restart() {
        followers.forEach(SharedFollower::restart);
    }

    /** Sets the estimated number of nodes. */
    void nodes(double estimate) {
        sharing.nodes(estimate);
    }

    /** Returns the interval at which a node reads the announcements of endpoints itself. */
    Duration endpointInterval() {
        return max(platform.leaveNotice().dividedBy(2), MIN_READ_INTERVAL);
    }

    private Duration configWait() {
        return max(platform.catchUpLimit().minus(LOST_READ_MARGIN), MIN_READ_INTERVAL);
    }

    private Duration questionInterval() {
        Duration shortest = min(endpointInterval(), configWait()).dividedBy(QUESTIONS_PER_READ);
        return min(shortest, MAX_QUESTION_INTERVAL);
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private Collection<String> suspectedEndpoints() {
        return knowledge.roster().suspected(clock.nanos()).stream()
                .map(e -> e.id().value())
                .toList();
    }

    private SharedFollower config() {
        Duration wait = configWait();
        return follower(
                SharedStream.CONFIGURATION,
                adapter.configStream(),
                new SharedFollower.Timing(
                        new KeyedFollower.Pacing(wait, Duration.ZERO),
                        new KeyedFollower.Pacing(wait.dividedBy(HUB_WAIT_DIVISOR), Duration.ZERO),
                        wait),
                Optional.empty(),
                new ConfigKeeper(
                        adapter.log(),
                        new CatalogListener(knowledge, adapter::catalog, clock, trace),
                        knowledge,
                        clock,
                        new SplittableRandom()));
    }

    private SharedFollower endpoints() {
        Duration hubPause =
                endpointInterval().multipliedBy(HUB_READ_QUESTIONS).dividedBy(QUESTIONS_PER_READ);
        return follower(
                SharedStream.ENDPOINTS,
                adapter.endpointStream(),
                new SharedFollower.Timing(
                        new KeyedFollower.Pacing(Duration.ZERO, endpointInterval()),
                        new KeyedFollower.Pacing(Duration.ZERO, hubPause),
                        endpointInterval()),
                Optional.of(PlatformAdapter::repeats),
                new RosterListener(knowledge.roster(), adapter::endpoint, clock, trace));
    }

    private SharedFollower faults(FaultStreamListener listener) {
        Duration hubWait = FAULT_READ_WAIT.dividedBy(HUB_FAULT_WAIT_DIVISOR);
        return follower(
                SharedStream.FAULTS,
                FaultReport.STREAM,
                new SharedFollower.Timing(
                        new KeyedFollower.Pacing(FAULT_READ_WAIT, FAULT_READ_PAUSE),
                        new KeyedFollower.Pacing(hubWait, FAULT_READ_PAUSE),
                        FAULT_READ_WAIT),
                Optional.empty(),
                listener);
    }

    private SharedFollower follower(
            SharedStream stream,
            String name,
            SharedFollower.Timing timing,
            Optional<BiPredicate<Bytes, Bytes>> repeats,
            KeyedFollower.Listener listener) {
        return new SharedFollower(
                stream,
                adapter.log(),
                name,
                timing,
                clock,
                new Backoff(new SplittableRandom(), MAX_READ_BACKOFF),
                repeats,
                listener);
    }

    private void register(MeterRegistry meters) {
        for (SharedFollower follower : followers) {
            String purpose = follower.stream().name().toLowerCase(Locale.ROOT);
            count(meters, "reads", purpose, follower, SharedFollower::reads);
            count(meters, "reads.saved", purpose, follower, SharedFollower::savedReads);
            meters.gauge(
                    "hyssopturn.store.age.seconds",
                    Tags.of("purpose", purpose),
                    follower,
                    f -> f.age().toNanos() / NANOS_PER_SECOND);
        }
        count(meters, "reads", "holders", issuers, IssuerReader::reads);
        count(meters, "reads.saved", "holders", issuers, IssuerReader::savedReads);
        meters.gauge("hyssopturn.store.readers", sharing, StoreSharing::readers);
    }

    private static <T> void count(
            MeterRegistry meters,
            String name,
            String purpose,
            T source,
            ToDoubleFunction<T> value) {
        FunctionCounter.builder("hyssopturn.store." + name, source, value)
                .tag("purpose", purpose)
                .register(meters);
    }
}
