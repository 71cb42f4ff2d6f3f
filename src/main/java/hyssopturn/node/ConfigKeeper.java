package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.relay.RoutingState;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps the newest configuration in force when the log returns from an older copy that lacks it.
 *
 * <p>Nodes that knew a configuration keep it. They write it to a stream of their own, and then the
 * era in which they have done so. A node that starts reads that stream; if it names an earlier era,
 * the node waits until another one has written, or could have.
 */
final class ConfigKeeper implements KeyedFollower.Listener {
    /** Log stream that holds the newest configuration that nodes knew when the log returned. */
    static final String STREAM = "hyssopturn-config";

    /** Key of the record with the era in which the stream was last written. */
    static final String ERA_KEY = "era";

    /** Time that a node waits for the others. */
    static final Duration MAX_WAIT = Duration.ofSeconds(3);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);

    /** Maximum random delay before a node writes; usually one node does so. */
    private static final Duration MAX_WRITE_DELAY = Duration.ofMillis(200);

    /** Time after which all nodes that know a newer configuration have written it. */
    private static final Duration SETTLE_TIME = Duration.ofSeconds(1);

    private static final int WARN_SECONDS = 5;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final KeyedLog log;
    private final CatalogListener listener;
    private final RoutingState knowledge;
    private final Clock clock;
    private final RandomGenerator random;
    private boolean started;
    private Optional<Bytes> logHolds = Optional.empty();

    ConfigKeeper(
            KeyedLog log,
            CatalogListener listener,
            RoutingState knowledge,
            Clock clock,
            RandomGenerator random) {
        this.log = log;
        this.listener = listener;
        this.knowledge = knowledge;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public void snapshot(KeyedLog.Page page) {
        boolean first = !started;
        started = true;
        if (first && log.era().isPresent()) {
            knowledge.awaitNewer(true);
            long untilNanos = clock.nanos() + MAX_WAIT.toNanos();
            read(stored -> handleStart(stored, untilNanos), () -> retryStart(untilNanos));
        }
        listener.snapshot(page);
        noteStored(page);
    }

    @Override
    public void records(KeyedLog.Page page) {
        listener.records(page);
        noteStored(page);
    }

    @Override
    public void records(KeyedLog.Page page, long readNanos) {
        listener.records(page, readNanos);
        noteStored(page);
    }

    private void noteStored(KeyedLog.Page page) {
        Optional<Bytes> inForce = listener.inForce().flatMap(KeyedLog.Entry::value);
        if (page.entries().stream().anyMatch(e -> e.value().equals(inForce))) {
            logHolds = inForce;
        }
    }

    @Override
    public void readFailed(PortException error) {
        listener.readFailed(error);
    }

    /** Writes what this node knows, after the log has been listed again. */
    @Override
    public void restored() {
        logHolds = Optional.empty();
        if (!knowledge.awaitsNewer()) {
            clock.after(writeDelay(), () -> read(this::writeIfMissing, () -> {}));
            clock.after(SETTLE_TIME, () -> read(this::apply, () -> {}));
        }
    }

    private Duration writeDelay() {
        return Duration.ofNanos(random.nextLong(MAX_WRITE_DELAY.toNanos()));
    }

    /** Content of the stream. */
    private record Stored(Optional<KeyedLog.Entry> config, OptionalLong era) {
        static Stored of(KeyedLog.Page page) {
            Optional<KeyedLog.Entry> config = Optional.empty();
            OptionalLong era = OptionalLong.empty();
            for (KeyedLog.Entry entry : page.entries()) {
                if (entry.key().equals(ERA_KEY)) {
                    era = number(entry);
                } else {
                    config = Optional.of(entry);
                }
            }
            return new Stored(config, era);
        }

        private static OptionalLong number(KeyedLog.Entry entry) {
            try {
                return OptionalLong.of(Long.parseLong(entry.value().orElse(Bytes.EMPTY).text()));
            } catch (NumberFormatException e) {
                logger.atWarning().log("record of the era is malformed: %s", entry);
                return OptionalLong.empty();
            }
        }

        boolean writtenIn(OptionalLong current) {
            return era.isPresent() && era.getAsLong() >= current.orElse(0);
        }
    }

    private interface Reader {
        void handle(Stored stored);
    }

    private void read(Reader reader, Runnable failed) {
        log.newest(STREAM)
                .whenComplete(
                        (page, error) -> {
                            if (error == null) {
                                reader.handle(Stored.of(page));
                            } else {
                                warn("read", error);
                                failed.run();
                            }
                        });
    }

    private static void warn(String call, Throwable error) {
        logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                "cannot %s the kept configuration: %s", call, error);
    }

    private void apply(Stored stored) {
        stored.config().ifPresent(listener::apply);
    }

    /** Without any record of an era no node has ever run, so that none can know more. */
    private void handleStart(Stored stored, long untilNanos) {
        apply(stored);
        if (stored.writtenIn(log.era()) || stored.era().isEmpty()) {
            finishStart();
        } else {
            retryStart(untilNanos);
        }
    }

    private void retryStart(long untilNanos) {
        if (clock.nanos() >= untilNanos) {
            finishStart();
            return;
        }
        clock.after(
                RETRY_INTERVAL,
                () -> read(s -> handleStart(s, untilNanos), () -> retryStart(untilNanos)));
    }

    private void finishStart() {
        knowledge.awaitNewer(false);
        clock.after(writeDelay(), () -> read(this::writeIfMissing, () -> {}));
        clock.after(SETTLE_TIME, () -> read(this::apply, () -> {}));
    }

    /** Writes a configuration that neither the log nor another node has, and then the era. */
    private void writeIfMissing(Stored stored) {
        apply(stored);
        OptionalLong era = log.era();
        if (era.isEmpty()) {
            return;
        }
        Optional<KeyedLog.Entry> missing =
                listener.inForce()
                        .filter(e -> !e.value().equals(logHolds))
                        .filter(e -> !e.value().equals(stored.config().flatMap(c -> c.value())));
        missing.ifPresent(e -> append(e.key(), e.value().orElseThrow()));
        if (!stored.writtenIn(era)) {
            append(ERA_KEY, Bytes.utf8(String.valueOf(era.getAsLong())));
        }
    }

    private void append(String key, Bytes value) {
        log.append(STREAM, key, value)
                .exceptionally(
                        error -> {
                            warn("write", error);
                            return null;
                        });
    }
}
