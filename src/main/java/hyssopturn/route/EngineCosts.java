package hyssopturn.route;

import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;

/** Predicts the cost of steps on each engine, and learns from completed steps. */
public interface EngineCosts {
    /**
     * Predicts the cost of steps on an engine under its current load.
     *
     * @param engine the engine and its latest report
     * @return the cost
     */
    EngineCost cost(EngineView engine);

    /**
     * Records the time of a completed step.
     *
     * @param engine the engine
     * @param layers number of layers that ran
     * @param tokens number of tokens that ran
     * @param nanos time from sending the step to receiving its result, in nanoseconds
     */
    void observed(InstanceId engine, int layers, int tokens, long nanos);

    /**
     * Records that this node assigned runs to an engine or withdrew them.
     *
     * @param engine the engine
     * @param change change of the number of runs, negative if runs were withdrawn
     */
    void assigned(InstanceId engine, int change);

    /**
     * Records that an engine does not respond, not even over a new connection.
     *
     * @param engine the engine
     */
    void suspected(InstanceId engine);
}
