package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.StepResult;

/** An input of a run's state machine. */
sealed interface RunEvent {
    /** The run starts. */
    record Started() implements RunEvent {}

    /**
     * An engine answered a step.
     *
     * @param call the call that was answered
     * @param result result of the step
     */
    record Answered(StepCall call, StepResult result) implements RunEvent {}

    /**
     * A step failed.
     *
     * @param call the call that failed
     * @param cause cause of the failure
     */
    record Failed(StepCall call, Throwable cause) implements RunEvent {}

    /**
     * Cached state was moved to another engine.
     *
     * @param attempt attempt that will use the state
     * @param to the other engine
     * @param position number of tokens that the state covers
     */
    record Moved(int attempt, InstanceId to, int position) implements RunEvent {}

    /**
     * Cached state could not be moved.
     *
     * @param attempt attempt that would have used the state
     * @param cause cause of the failure
     */
    record MoveFailed(int attempt, Throwable cause) implements RunEvent {}

    /**
     * A timer fired.
     *
     * @param timer number of the timer
     */
    record TimerFired(long timer) implements RunEvent {}

    /** The caller cancelled the answer, or its stream was terminated. */
    record Cancelled() implements RunEvent {}
}
