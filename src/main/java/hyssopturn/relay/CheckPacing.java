package hyssopturn.relay;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Limits how often the liveness of an engine is checked, whatever the number of streams that wait
 * for it. Does no I/O; the caller passes in the time.
 *
 * <p>Without the limit, slow engines or slow links between zones, which delay the events of many
 * streams for a long time, would cause checks all the time.
 */
final class CheckPacing {
    /** Minimum time between checks of an engine; it may delay the detection of a second fault. */
    static final Duration MIN_INTERVAL = Duration.ofMillis(500);

    /**
     * Time between checks of an engine for each node that shares it. Nodes report failed engines to
     * each other, so one check by any of the nodes in this time is enough.
     */
    static final Duration INTERVAL_PER_NODE = Duration.ofMillis(150);

    private final DoubleSupplier sharers;
    private final Map<InstanceId, Long> checkedNanos = new HashMap<>();

    /**
     * Creates a limiter that has recorded no checks.
     *
     * @param sharers number of nodes that share an engine, including this one
     */
    CheckPacing(DoubleSupplier sharers) {
        this.sharers = sharers;
    }

    /** Allows the next check of an engine at once, since the last one showed nothing. */
    void forget(InstanceId engine) {
        checkedNanos.remove(engine);
    }

    /** Returns whether an engine should be checked now, and if so records the check. */
    boolean due(InstanceId engine, long nowNanos) {
        double sharedNanos = INTERVAL_PER_NODE.toNanos() * sharers.getAsDouble();
        double validNanos = Math.max((double) MIN_INTERVAL.toNanos(), sharedNanos);
        checkedNanos.values().removeIf(checked -> nowNanos - checked >= validNanos);
        return checkedNanos.putIfAbsent(engine, nowNanos) == null;
    }
}
