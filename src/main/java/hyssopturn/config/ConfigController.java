package hyssopturn.config;

import com.google.common.flogger.FluentLogger;

import hyssopturn.log.LogFollower;
import hyssopturn.model.Config;
import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Keeps the configuration in force: the highest version that the log or another node showed to be
 * accepted.
 */
public final class ConfigController {
    /** Stream of the log that holds publications. */
    public static final String STREAM = "config";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final LogFollower follower;
    private final ConfigFold fold;
    private final Clock clock;
    private final MeterRegistry meters;
    private final List<Consumer<Config>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicInteger deliveries = new AtomicInteger();
    private volatile FoldState state = FoldState.INITIAL;
    private volatile Current current = new Current(Optional.empty(), Config.EMPTY);
    private long firstKept = 1;
    private long carrier;
    private long carrierNanos;
    private long delivered;

    private record Current(Optional<AcceptedDocument> accepted, Config config) {}

    /**
     * Creates a controller that has not started.
     *
     * @param log the log
     * @param clock time
     * @param seal checks what other nodes accepted
     * @param meters where it counts
     */
    public ConfigController(LogService log, Clock clock, Seal seal, MeterRegistry meters) {
        this(log, clock, new ConfigFold(seal), meters);
    }

    ConfigController(LogService log, Clock clock, ConfigFold fold, MeterRegistry meters) {
        this.clock = clock;
        this.meters = meters;
        this.fold = fold;
        follower = new LogFollower(log, STREAM, clock, this::fold);
        meters.gauge("hyssopturn.config.version", this, c -> c.current().version());
        meters.gauge("hyssopturn.config.settled", this, c -> c.state.settled() ? 1 : 0);
    }

    /** Starts following. */
    public void start() {
        follower.start();
    }

    /** Stops following. */
    public void stop() {
        follower.stop();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Config#EMPTY} before the first
     */
    public Config current() {
        return current.config();
    }

    /**
     * Returns the document in force, for other nodes.
     *
     * @return the document, empty before the first
     */
    public Optional<AcceptedDocument> accepted() {
        return current.accepted();
    }

    /**
     * Takes a document that another node says is accepted.
     *
     * @param document the document
     * @return true if it came into force here
     */
    public boolean offer(AcceptedDocument document) {
        if (document.version() <= current().version()) {
            return false;
        }
        Optional<Config> config = fold.checked(document);
        if (config.isEmpty()) {
            meters.counter("hyssopturn.config.offers", "result", "refused").increment();
            return false;
        }
        boolean taken = join(document, config.get());
        meters.counter("hyssopturn.config.offers", "result", taken ? "taken" : "old").increment();
        deliver();
        return taken;
    }

    /**
     * Adds a listener.
     *
     * @param listener gets each configuration that comes into force, in order of version
     */
    public void listen(Consumer<Config> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the snapshot to append now, if one is due.
     *
     * @param age greatest age that the record which carries the document may reach
     * @return the snapshot, empty while none is due or while this node cannot judge the log
     */
    synchronized Optional<ConfigRecord.Snapshot> snapshotDue(Duration age) {
        FoldState now = state;
        boolean old = clock.nanos() - carrierNanos >= age.toNanos();
        boolean dropped = now.carrier() < firstKept;
        if (!now.settled() || now.accepted().isEmpty() || !(old || dropped)) {
            return Optional.empty();
        }
        return now.accepted().map(a -> new ConfigRecord.Snapshot(a, now.through()));
    }

    private void fold(LogPage page) {
        synchronized (this) {
            firstKept = page.first();
            FoldState next = fold.open(state, page.first());
            for (LogPage.Entry entry : page.records()) {
                if (entry.offset() <= next.through()) {
                    continue;
                }
                ConfigFold.Step step = fold.apply(next, entry);
                meters.counter("hyssopturn.config.records", "verdict", step.verdict().label())
                        .increment();
                next = step.state();
            }
            noteCarrier(next);
            state = next;
            next.accepted().ifPresent(document -> join(document, state.config()));
        }
        deliver();
    }

    private void noteCarrier(FoldState next) {
        if (next.carrier() != carrier) {
            carrier = next.carrier();
            carrierNanos = clock.nanos();
        }
    }

    private synchronized boolean join(AcceptedDocument document, Config config) {
        if (config.version() <= current.config().version()) {
            return false;
        }
        current = new Current(Optional.of(document), config);
        return true;
    }

    private void deliver() {
        if (deliveries.getAndIncrement() != 0) {
            return;
        }
        int seen = 1;
        while (seen != 0) {
            Config config = current();
            if (config.version() > delivered) {
                delivered = config.version();
                logger.atInfo().log("config=in-force version=%d", config.version());
                listeners.forEach(listener -> listener.accept(config));
            }
            seen = deliveries.addAndGet(-seen);
        }
    }
}
