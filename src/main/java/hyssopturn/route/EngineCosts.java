package hyssopturn.route;

import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;

/** Predicts what steps cost at each engine, and learns from those that ran. */
public interface EngineCosts {
    /**
     * Predicts the cost of steps at an engine under its present load.
     *
     * @param engine the engine and its latest report
     * @return the cost
     */
    EngineCost cost(EngineView engine);

    /**
     * Learns from a step that was answered.
     *
     * @param engine the engine
     * @param layers number of layers that ran
     * @param tokens number of tokens that ran
     * @param nanos time from send to answer, in nanoseconds
     */
    void observed(InstanceId engine, int layers, int tokens, long nanos);

    /**
     * Learns that runs of this node came to an engine or left it.
     *
     * @param engine the engine
     * @param runs number of runs more, negative for less
     */
    void assigned(InstanceId engine, int runs);

    /**
     * Learns that an engine does not answer, over a new connection either.
     *
     * @param engine the engine
     */
    void suspected(InstanceId engine);
}
