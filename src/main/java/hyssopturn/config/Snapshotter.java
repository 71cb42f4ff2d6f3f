package hyssopturn.config;

import hyssopturn.port.Clock;
import hyssopturn.port.LogService;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Appends the document in force again before the log drops it, while this node has the duty. */
public final class Snapshotter {
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final int RETENTION_PARTS = 3;

    private final ConfigController config;
    private final LogService log;
    private final Clock clock;
    private final BooleanSupplier duty;
    private final Duration age;
    private final Counter appended;
    private volatile boolean stopped;

    /**
     * Creates a snapshotter that has not started.
     *
     * @param config what is in force
     * @param log the log
     * @param clock time
     * @param duty tells whether this node is the one that appends
     * @param retention least time that the log keeps a record
     * @param meters where it counts
     */
    public Snapshotter(
            ConfigController config,
            LogService log,
            Clock clock,
            BooleanSupplier duty,
            Duration retention,
            MeterRegistry meters) {
        this.config = config;
        this.log = log;
        this.clock = clock;
        this.duty = duty;
        age = retention.dividedBy(RETENTION_PARTS);
        appended = meters.counter("hyssopturn.config.snapshots");
    }

    /** Starts looking whether a snapshot is due. */
    public void start() {
        clock.after(INTERVAL, this::check);
    }

    /** Stops. */
    public void stop() {
        stopped = true;
    }

    private void check() {
        if (stopped) {
            return;
        }
        if (duty.getAsBoolean()) {
            config.snapshotDue(age).ifPresent(this::append);
        }
        clock.after(INTERVAL, this::check);
    }

    private void append(ConfigRecord.Snapshot snapshot) {
        appended.increment();
        log.append(ConfigController.STREAM, snapshot.encode());
    }
}
