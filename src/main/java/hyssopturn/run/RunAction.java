package hyssopturn.run;

import hyssopturn.event.Detail;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.Instance;

import java.time.Duration;

/** What a run wants done. */
sealed interface RunAction {
    /**
     * Sends a step.
     *
     * @param call identity of the call
     * @param engine receiver
     * @param step the step
     * @param dial which connection to use
     */
    record Send(StepCall call, Instance engine, Step step, Dial dial) implements RunAction {}

    /**
     * Moves cached state from one engine to another.
     *
     * @param attempt attempt that will use it
     * @param from where it is
     * @param to where it shall be
     * @param layers layers of the state
     */
    record Move(int attempt, Instance from, Instance to, LayerRange layers) implements RunAction {}

    /**
     * Cancels attempts at an engine.
     *
     * @param engine the engine
     * @param attempt highest attempt to cancel
     */
    record Cancel(Instance engine, int attempt) implements RunAction {}

    /**
     * Gives the caller the next part of the answer.
     *
     * @param event the part
     */
    record Emit(AnswerEvent event) implements RunAction {}

    /**
     * Sets the run's only timer.
     *
     * @param timer its number
     * @param delay when it is due
     */
    record Arm(long timer, Duration delay) implements RunAction {}

    /**
     * Learns from a step that was answered.
     *
     * @param engine the engine
     * @param layers number of layers that ran
     * @param call the call
     * @param nanos time from send to answer, in nanoseconds
     */
    record Learn(InstanceId engine, int layers, StepCall call, long nanos) implements RunAction {}

    /**
     * Learns from a step that was given up.
     *
     * @param engine the engine
     * @param call the call
     * @param nanos time that it was waited for, in nanoseconds
     */
    record GiveUp(InstanceId engine, StepCall call, long nanos) implements RunAction {}

    /**
     * Tells others that an engine does not answer.
     *
     * @param engine the engine
     */
    record Suspect(InstanceId engine) implements RunAction {}

    /**
     * Tells others that an engine takes no connections.
     *
     * @param engine the engine
     */
    record Unreachable(Instance engine) implements RunAction {}

    /**
     * Tells others that an engine is leaving.
     *
     * @param engine the engine
     */
    record Leaving(Instance engine) implements RunAction {}

    /**
     * Records an event for the time line.
     *
     * @param detail what happened
     */
    record Note(Detail detail) implements RunAction {}

    /**
     * Counts a recovery.
     *
     * @param recovery how
     * @param layerTokens layers times tokens that run again because of it
     */
    record Count(Recovery recovery, long layerTokens) implements RunAction {}
}
