package hyssopturn.relay;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * How often an engine is checked for life, however many streams wait for it; pure.
 *
 * <p>Answers days on which slow engines or pipes keep streams quiet for long.
 */
final class CheckPacing {
    /**
     * Least time that a check of an engine holds good; detection of a second fault may wait for it.
     */
    static final Duration INTERVAL = Duration.ofMillis(500);

    /**
     * Time that a check holds good for each node that shares the engine. Nodes tell each other of
     * engines that fail, so one check of all nodes in this time is enough.
     */
    static final Duration INTERVAL_EACH = Duration.ofMillis(150);

    private final DoubleSupplier sharers;
    private final Map<InstanceId, Long> checkedNanos = new HashMap<>();

    /**
     * Creates a pacing.
     *
     * @param sharers number of nodes that share an engine, this one included
     */
    CheckPacing(DoubleSupplier sharers) {
        this.sharers = sharers;
    }

    /** Tells whether an engine should be checked now, and counts it as checked if so. */
    boolean due(InstanceId engine, long nowNanos) {
        double shared = INTERVAL_EACH.toNanos() * sharers.getAsDouble();
        double holds = Math.max((double) INTERVAL.toNanos(), shared);
        checkedNanos.values().removeIf(at -> nowNanos - at >= holds);
        return checkedNanos.putIfAbsent(engine, nowNanos) == null;
    }
}
