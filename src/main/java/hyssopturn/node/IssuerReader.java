package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.limit.EndpointLimits;
import hyssopturn.port.Clock;
import hyssopturn.port.Duties;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Reads which node holds each partition, and so issues the grants of its endpoints and adds up
 * loads: often while an endpoint has a limit or a holder has changed, and seldom otherwise.
 */
final class IssuerReader {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration ACTIVE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration IDLE_INTERVAL = Duration.ofSeconds(10);

    /**
     * Time after the start of the node before the first read; a limit that is named comes first.
     */
    private static final Duration FIRST_READ_DELAY = Duration.ofSeconds(5);

    private static final int WARN_SECONDS = 5;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Duties duties;
    private final EndpointLimits limits;
    private final LoadSharing loads;
    private final Clock clock;
    private boolean reading;
    private long readNanos;

    IssuerReader(Duties duties, EndpointLimits limits, LoadSharing loads, Clock clock) {
        this.duties = duties;
        this.limits = limits;
        this.loads = loads;
        this.clock = clock;
    }

    /** Starts to read at intervals. */
    void start() {
        readNanos = clock.nanos() - IDLE_INTERVAL.minus(FIRST_READ_DELAY).toNanos();
        tick();
    }

    private void tick() {
        clock.after(TICK, this::tick);
        if (!reading && clock.nanos() - readNanos >= interval().toNanos()) {
            read();
        }
    }

    private Duration interval() {
        if (!limits.active()) {
            return loads.ownersOutdated() ? ACTIVE_INTERVAL : IDLE_INTERVAL;
        }
        return limits.ownersOutdated() ? TICK : ACTIVE_INTERVAL;
    }

    private void read() {
        reading = true;
        readNanos = clock.nanos();
        duties.owners()
                .whenComplete(
                        (owners, error) -> {
                            reading = false;
                            if (error == null) {
                                limits.owners(owners);
                                loads.owners(owners);
                            } else {
                                logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                                        "cannot read the holders of partitions: %s", error);
                            }
                        });
    }
}
