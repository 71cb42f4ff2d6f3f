package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.limit.EndpointLimits;
import hyssopturn.model.Address;
import hyssopturn.port.Clock;
import hyssopturn.port.Duties;
import hyssopturn.share.HolderReads;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads which node holds each partition, and so issues the grants of its endpoints and adds up
 * loads: often while an endpoint has a limit or a holder has changed, and seldom otherwise. What
 * another node has read replaces a read.
 */
final class IssuerReader implements HolderReads {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration ACTIVE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration IDLE_INTERVAL = Duration.ofSeconds(10);

    /** Part of an interval after which a node reads that tells others, as a divisor. */
    private static final int SHARED_DIVISOR = 2;

    /**
     * Time after the start of the node before the first read; a limit that is named comes first.
     */
    private static final Duration FIRST_READ_DELAY = Duration.ofSeconds(5);

    private static final int WARN_SECONDS = 5;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Duties duties;
    private final EndpointLimits limits;
    private final LoadSharing loads;
    private final Consumer<Collection<Address>> listener;
    private final Clock clock;
    private Map<Integer, Address> holders = Map.of();
    private boolean reading;
    private long startNanos;
    private long readNanos;
    private boolean shared;
    private boolean neededByOthers;
    private long reads;
    private double savedReads;

    IssuerReader(
            Duties duties,
            EndpointLimits limits,
            LoadSharing loads,
            Consumer<Collection<Address>> listener,
            Clock clock) {
        this.duties = duties;
        this.limits = limits;
        this.loads = loads;
        this.listener = listener;
        this.clock = clock;
    }

    /** Starts to read at intervals. */
    void start() {
        startNanos = clock.nanos() - IDLE_INTERVAL.minus(FIRST_READ_DELAY).toNanos();
        tick();
    }

    /** Returns the number of reads since the start. */
    long reads() {
        return reads;
    }

    /** Returns the number of reads that other nodes' reads replaced. */
    double savedReads() {
        return savedReads;
    }

    private void tick() {
        clock.after(TICK, this::tick);
        if (!reading && clock.nanos() - startNanos >= interval().toNanos()) {
            read();
        }
    }

    private Duration interval() {
        if (limits.active() && limits.ownersOutdated()) {
            return TICK;
        }
        boolean active = limits.active() || loads.ownersOutdated() || (shared && neededByOthers);
        Duration interval = active ? ACTIVE_INTERVAL : IDLE_INTERVAL;
        return shared ? interval.dividedBy(SHARED_DIVISOR) : interval;
    }

    private void read() {
        reading = true;
        reads++;
        startNanos = clock.nanos();
        long thisStart = startNanos;
        duties.owners()
                .whenComplete(
                        (owners, error) -> {
                            reading = false;
                            if (error == null) {
                                apply(owners, thisStart);
                            } else {
                                logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                                        "cannot read the holders of partitions: %s", error);
                            }
                        });
    }

    private void apply(Map<Integer, Address> owners, long asOfNanos) {
        holders = Map.copyOf(owners);
        readNanos = asOfNanos;
        limits.owners(owners);
        loads.owners(owners);
        listener.accept(owners.values());
    }

    @Override
    public Map<Integer, Address> holders() {
        return holders;
    }

    @Override
    public long readNanos() {
        return readNanos;
    }

    @Override
    public boolean needed() {
        return limits.active();
    }

    /** Holders that proved outdated are read again by this node itself. */
    @Override
    public void receive(Map<Integer, Address> told, long asOfNanos) {
        boolean older = !holders.isEmpty() && asOfNanos - readNanos <= 0;
        if (older || limits.ownersOutdated()) {
            return;
        }
        if (!holders.isEmpty()) {
            savedReads += (double) (asOfNanos - readNanos) / interval().toNanos();
        }
        if (told.equals(holders)) {
            readNanos = asOfNanos;
        } else {
            apply(told, asOfNanos);
        }
        startNanos = Math.max(startNanos, asOfNanos);
    }

    @Override
    public void readForOthers(boolean needed) {
        shared = true;
        neededByOthers = needed;
    }

    @Override
    public void readForItself() {
        shared = false;
    }
}
