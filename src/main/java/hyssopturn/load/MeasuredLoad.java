package hyssopturn.load;

import java.util.List;

/**
 * Load of a scope, of one node or summed over nodes.
 *
 * @param engines tokens held at the engines
 * @param startedTokens tokens of one layer that requests started to hold, in a second
 * @param endedTokens tokens of one layer that requests ceased to hold, in a second
 * @param priorities streams of the zone's clients by priority, the most urgent first
 */
public record MeasuredLoad(
        EngineTokens engines,
        double startedTokens,
        double endedTokens,
        List<PriorityLoad> priorities) {
    /** No load. */
    public static final MeasuredLoad NONE = new MeasuredLoad(EngineTokens.NONE, 0, 0, List.of());

    /** Copies the priorities. */
    public MeasuredLoad {
        priorities = List.copyOf(priorities);
    }

    /** Returns the same load at other engines, or without their names. */
    MeasuredLoad with(EngineTokens other) {
        return new MeasuredLoad(other, startedTokens, endedTokens, priorities);
    }

    /** Joins a later fragment of the same load, whose rates are in its first fragment. */
    MeasuredLoad join(MeasuredLoad later) {
        return new MeasuredLoad(
                engines.join(later.engines), startedTokens, endedTokens, priorities);
    }
}
