package hyssopturn.run;

import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;
import hyssopturn.port.FailedException;
import hyssopturn.port.RefusedException;

import java.util.HashSet;
import java.util.Set;

/** Knows whether anything of a run may have run, so that its end can be told truthfully. */
final class Truth {
    private final Set<Long> doubtful = new HashSet<>();
    private boolean ran;
    private Reason refusal = Reason.NO_ENDPOINT;

    Truth() {}

    void sent(StepCall call) {
        doubtful.add(call.number());
    }

    void answered(StepCall call) {
        doubtful.remove(call.number());
        ran = true;
    }

    void broke(StepCall call, Throwable cause) {
        switch (cause) {
            case RefusedException refused -> {
                doubtful.remove(call.number());
                boolean busy = refused.reason() == RefusedException.Reason.OVERLOADED;
                refusal = busy ? Reason.OVERLOADED : Reason.NO_ENDPOINT;
            }
            case FailedException failed -> answered(call);
            default -> {
                // stays in doubt
            }
        }
    }

    boolean nothingRan() {
        return !ran && doubtful.isEmpty();
    }

    /** Tells how a run ends that cannot go on. */
    End end(String message) {
        if (ran) {
            return End.failed(Reason.ENDPOINT_FAILED, message);
        }
        return doubtful.isEmpty() ? End.notRun(refusal, message) : End.unknown(message);
    }
}
