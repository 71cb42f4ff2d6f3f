package hyssopturn.relay;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How often an engine is checked for life, however many streams wait for it; pure.
 *
 * <p>Answers days on which slow engines or pipes keep streams quiet for long.
 */
final class CheckPacing {
    /** Time that a check of an engine holds good; detection of a second fault may wait for it. */
    static final Duration INTERVAL = Duration.ofMillis(500);

    private final Map<InstanceId, Long> checkedNanos = new HashMap<>();

    /** Tells whether an engine should be checked now, and counts it as checked if so. */
    boolean due(InstanceId engine, long nowNanos) {
        checkedNanos.values().removeIf(at -> nowNanos - at >= INTERVAL.toNanos());
        return checkedNanos.putIfAbsent(engine, nowNanos) == null;
    }
}
