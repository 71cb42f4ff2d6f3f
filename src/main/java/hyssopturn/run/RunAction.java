package hyssopturn.run;

import hyssopturn.event.Detail;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.Instance;

import java.time.Duration;

/** An action that a run requests from its driver. */
sealed interface RunAction {
    /**
     * Sends a step.
     *
     * @param call identity of the call
     * @param engine engine that receives the step
     * @param step the step
     * @param dial whether to use a pooled or a new connection
     */
    record Send(StepCall call, Instance engine, Step step, Dial dial) implements RunAction {}

    /**
     * Moves cached state from one engine to another.
     *
     * @param attempt attempt that will use the state
     * @param from engine that holds the state
     * @param to engine that receives the state
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
     * Sends the next event of the answer to the caller.
     *
     * @param event the event
     */
    record Emit(AnswerEvent event) implements RunAction {}

    /**
     * Sets the run's only timer and cancels the previous one.
     *
     * @param timer number of the timer
     * @param delay time until the timer fires
     */
    record SetTimer(long timer, Duration delay) implements RunAction {}

    /**
     * Records the duration of an answered step.
     *
     * @param engine the engine
     * @param layers number of layers that ran
     * @param call the call
     * @param nanos time from send to answer, in nanoseconds
     */
    record RecordDuration(InstanceId engine, int layers, StepCall call, long nanos)
            implements RunAction {}

    /**
     * Records a step that timed out.
     *
     * @param engine the engine
     * @param call the call
     * @param nanos time from send to timeout, in nanoseconds
     */
    record RecordTimeout(InstanceId engine, StepCall call, long nanos) implements RunAction {}

    /**
     * Reports that an engine does not answer.
     *
     * @param engine the engine
     */
    record ReportSuspect(InstanceId engine) implements RunAction {}

    /**
     * Reports that an engine does not accept connections.
     *
     * @param engine the engine
     */
    record ReportUnreachable(Instance engine) implements RunAction {}

    /**
     * Reports that an engine is leaving.
     *
     * @param engine the engine
     */
    record ReportLeaving(Instance engine) implements RunAction {}

    /**
     * Records an event for the time line of the request.
     *
     * @param detail kind and fields of the event
     */
    record RecordEvent(Detail detail) implements RunAction {}

    /**
     * Counts a recovery.
     *
     * @param recovery kind of the recovery
     * @param layerTokens number of layers times tokens that must be recomputed
     */
    record CountRecovery(Recovery recovery, long layerTokens) implements RunAction {}
}
