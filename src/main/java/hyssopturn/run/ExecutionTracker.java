package hyssopturn.run;

import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;
import hyssopturn.port.FailedException;
import hyssopturn.port.RefusedException;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks whether any step of a run was or may have been executed, which determines the outcome that
 * is reported for the run.
 */
final class ExecutionTracker {
    /** Numbers of the calls that an engine may or may not have executed. */
    private final Set<Long> unresolvedCalls = new HashSet<>();

    private boolean executed;
    private Reason refusal = Reason.NO_ENDPOINT;

    ExecutionTracker() {}

    void sent(StepCall call) {
        unresolvedCalls.add(call.number());
    }

    void answered(StepCall call) {
        unresolvedCalls.remove(call.number());
        executed = true;
    }

    void failed(StepCall call, Throwable cause) {
        switch (cause) {
            case RefusedException refused -> {
                unresolvedCalls.remove(call.number());
                boolean busy = refused.reason() == RefusedException.Reason.OVERLOADED;
                refusal = busy ? Reason.OVERLOADED : Reason.NO_ENDPOINT;
            }
            case FailedException failed -> answered(call);
            default -> {
                // the call may have been executed
            }
        }
    }

    boolean nothingExecuted() {
        return !executed && unresolvedCalls.isEmpty();
    }

    /** Returns the end of a run that cannot continue. */
    End end(String message) {
        if (executed) {
            return End.failed(Reason.ENDPOINT_FAILED, message);
        }
        return unresolvedCalls.isEmpty() ? End.notRun(refusal, message) : End.unknown(message);
    }
}
