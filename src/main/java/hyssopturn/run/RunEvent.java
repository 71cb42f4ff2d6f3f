package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.StepResult;

/** What happens to a run. */
sealed interface RunEvent {
    /** The run may begin. */
    record Started() implements RunEvent {}

    /**
     * An engine answered a step.
     *
     * @param call the call that it answers
     * @param result what the engine said
     */
    record Answered(StepCall call, StepResult result) implements RunEvent {}

    /**
     * A step failed.
     *
     * @param call the call that failed
     * @param cause why
     */
    record Broke(StepCall call, Throwable cause) implements RunEvent {}

    /**
     * Cached state is in place at another engine.
     *
     * @param attempt attempt that will use it
     * @param to the other engine
     * @param position number of tokens that the state covers
     */
    record Moved(int attempt, InstanceId to, int position) implements RunEvent {}

    /**
     * Cached state could not be moved.
     *
     * @param attempt attempt that would have used it
     * @param cause why
     */
    record MoveBroke(int attempt, Throwable cause) implements RunEvent {}

    /**
     * A timer is due.
     *
     * @param timer its number
     */
    record Fired(long timer) implements RunEvent {}

    /** Nobody wants the answer any more. */
    record Cancelled() implements RunEvent {}
}
