package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.RefusedException;
import hyssopturn.port.ServiceClient.ServiceAnswer;
import hyssopturn.port.ServiceClient.ServiceCall;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Stand-in for a plain service: runs every call that reaches it and remembers each. */
public final class FakeService {
    private final Clock clock;
    private final Duration span;
    private final List<ServiceCall> journal = new ArrayList<>();
    private boolean draining;
    private int answersToLose;

    /**
     * Creates a service.
     *
     * @param clock time
     * @param span time that a call takes
     */
    public FakeService(Clock clock, Duration span) {
        this.clock = clock;
        this.span = span;
    }

    /**
     * Runs a call.
     *
     * @param call the call
     * @return its answer
     */
    public CompletableFuture<ServiceAnswer> call(ServiceCall call) {
        CompletableFuture<ServiceAnswer> answer = new CompletableFuture<>();
        int number;
        boolean lose;
        synchronized (this) {
            if (draining) {
                answer.completeExceptionally(
                        new RefusedException(RefusedException.Reason.DRAINING, "leaving"));
                return answer;
            }
            journal.add(call);
            number = journal.size();
            lose = answersToLose > 0;
            answersToLose -= lose ? 1 : 0;
        }
        String text = "{\"recorded\":" + number + ",\"class\":\"" + call.workClass() + "\"}";
        clock.after(span, () -> finish(answer, text, lose));
        return answer;
    }

    private static void finish(CompletableFuture<ServiceAnswer> answer, String text, boolean lose) {
        if (lose) {
            answer.completeExceptionally(new InDoubtException("answer was lost"));
        } else {
            answer.complete(new ServiceAnswer(Bytes.utf8(text)));
        }
    }

    /**
     * Makes the service refuse calls.
     *
     * @param value true to refuse
     */
    public synchronized void draining(boolean value) {
        draining = value;
    }

    /**
     * Loses the answers of the next calls, which still run.
     *
     * @param count how many answers are lost
     */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Returns the calls that ran, in order.
     *
     * @return a copy of the journal
     */
    public synchronized List<ServiceCall> journal() {
        return List.copyOf(journal);
    }
}
