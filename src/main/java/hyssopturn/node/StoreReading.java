package hyssopturn.node;

import hyssopturn.fleet.FaultReport;
import hyssopturn.limit.EndpointLimits;
import hyssopturn.log.Backoff;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.peer.ShareSocket;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.port.Clock;
import hyssopturn.relay.RoutingState;
import hyssopturn.share.ReadPlan;
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
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/** Reads what a node needs from the platform's store, or lets other nodes read it. */
final class StoreReading {
    /** Maximum backoff, before jitter, between attempts to read a stream. */
    private static final Duration MAX_READ_BACKOFF = Duration.ofMillis(300);

    /** Time to detect that a read was lost and to retry it. */
    private static final Duration LOST_READ_MARGIN = Duration.ofSeconds(1);

    /** Minimum interval between reads of a stream, however short the platform's bounds are. */
    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(250);

    private static final double NANOS_PER_SECOND = 1e9;

    private final ReadPlan plan;
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
            LoadSharing loads,
            Consumer<Collection<Address>> holders,
            Clock clock,
            TraceLog trace,
            MeterRegistry meters) {
        plan =
                new ReadPlan(
                        max(platform.leaveNotice().dividedBy(2), MIN_READ_INTERVAL),
                        max(platform.catchUpLimit().minus(LOST_READ_MARGIN), MIN_READ_INTERVAL));
        this.adapter = adapter;
        this.knowledge = knowledge;
        this.clock = clock;
        this.trace = trace;
        followers =
                List.of(
                        config(),
                        endpoints(),
                        follower(
                                SharedStream.FAULTS, FaultReport.STREAM, Optional.empty(), faults));
        issuers = new IssuerReader(adapter.duties(), limits, loads, holders, clock);
        ShareSocket socket = new ShareSocket(vertx, platform.peers());
        sharing =
                new StoreSharing(
                        platform.peers(),
                        plan.questionInterval(),
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

    /** Returns the interval at which a node reads the announcements of endpoints itself. */
    Duration endpointInterval() {
        return plan.endpointInterval();
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private Collection<String> suspectedEndpoints() {
        return knowledge.roster().suspected(clock.nanos()).stream()
                .map(e -> e.id().value())
                .toList();
    }

    private SharedFollower config() {
        return follower(
                SharedStream.CONFIGURATION,
                adapter.configStream(),
                Optional.empty(),
                new ConfigKeeper(
                        adapter.log(),
                        new CatalogListener(knowledge, adapter::catalog, clock, trace),
                        knowledge,
                        clock,
                        new SplittableRandom()));
    }

    private SharedFollower endpoints() {
        return follower(
                SharedStream.ENDPOINTS,
                adapter.endpointStream(),
                Optional.of(PlatformAdapter::repeats),
                new RosterListener(knowledge.roster(), adapter::endpoint, clock, trace));
    }

    private SharedFollower follower(
            SharedStream stream,
            String name,
            Optional<BiPredicate<Bytes, Bytes>> repeats,
            KeyedFollower.Listener listener) {
        return new SharedFollower(
                stream,
                adapter.log(),
                name,
                plan.timing(stream),
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
