package hyssopturn.run;

import hyssopturn.admit.RetryBudget;
import hyssopturn.event.Detail;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.FailedException;
import hyssopturn.port.Instance;
import hyssopturn.port.RefusedException;
import hyssopturn.port.ServiceClient.ServiceAnswer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * State machine of one call of a service: chooses instances, decides on retries and hedges, and
 * ends the call.
 *
 * <p>A call that must not be repeated is sent to another instance only if it was certainly not
 * executed. It uses a new connection, because a pooled one may be dead without notice, which would
 * leave the outcome unknown.
 */
final class CallRun {
    private static final int MAX_TRIES = 4;

    private final ServiceWork work;
    private final List<Instance> allServices;
    private final List<Instance> untried;
    private final RetryBudget retryBudget;
    private final Duration hedgeDelay;
    private final Map<Integer, PendingTry> pendingTries = new HashMap<>();
    private List<Action> actions = new ArrayList<>();
    private Reason refusal = Reason.NO_ENDPOINT;
    private int tries;
    private boolean outcomeUnknown;
    private boolean hedged;
    private boolean ended;

    /** An input of the state machine. */
    sealed interface Event {
        /** The call starts. */
        record Started() implements Event {}

        /** A try was answered. */
        record Answered(int number, ServiceAnswer answer) implements Event {}

        /** A try failed. */
        record Failed(int number, Throwable cause) implements Event {}

        /** The hedge delay has passed. */
        record HedgeDelayPassed() implements Event {}
    }

    /** An action that the call requests from its driver. */
    sealed interface Action {
        /** Sends the call. */
        record Send(int number, Instance service, Dial dial) implements Action {}

        /** Starts the timer of the hedge delay. */
        record StartHedgeTimer(Duration delay) implements Action {}

        /** Records the duration of an answered try, in nanoseconds. */
        record RecordDuration(long nanos) implements Action {}

        /** Reports that an instance does not accept connections. */
        record ReportUnreachable(Instance service) implements Action {}

        /** Reports that an instance is leaving. */
        record ReportLeaving(Instance service) implements Action {}

        /** Records an event for the time line of the request. */
        record RecordEvent(Detail detail) implements Action {}

        /** Completes the call with its answer. */
        record Finish(List<AnswerEvent> answer) implements Action {}
    }

    private record PendingTry(Instance service, long sentNanos) {}

    /**
     * Creates a call that has not been sent.
     *
     * @param work the call
     * @param services instances of the service, in the order in which they are tried
     * @param retryBudget budget of retries and hedges
     * @param hedgeDelay time after which a repeatable call is hedged
     */
    CallRun(
            ServiceWork work,
            List<Instance> services,
            RetryBudget retryBudget,
            Duration hedgeDelay) {
        this.work = work;
        allServices = List.copyOf(services);
        untried = new ArrayList<>(services);
        this.retryBudget = retryBudget;
        this.hedgeDelay = hedgeDelay;
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now time of the event in nanoseconds, on the node's monotonic clock
     * @return the actions to perform, in order
     */
    List<Action> on(Event event, long now) {
        actions = new ArrayList<>();
        if (!ended) {
            switch (event) {
                case Event.Started started -> begin(now);
                case Event.Answered(int number, ServiceAnswer answer) ->
                        answered(number, answer, now);
                case Event.Failed(int number, Throwable cause) -> tryFailed(number, cause, now);
                case Event.HedgeDelayPassed passed -> hedge(now);
            }
        }
        return actions;
    }

    private void begin(long now) {
        retryBudget.recordFirstTry(work.call().workClass());
        if (untried.isEmpty()) {
            giveUp();
            return;
        }
        send(work.repeatable() ? Dial.POOLED : Dial.FRESH, now);
        if (work.repeatable() && !ended) {
            actions.add(new Action.StartHedgeTimer(hedgeDelay));
        }
    }

    private void send(Dial dial, long now) {
        if (!work.maySend().getAsBoolean()) {
            finish(
                    outcomeUnknown
                            ? unknownEnd()
                            : End.notRun(Reason.DEADLINE, "the time to send has passed"));
            return;
        }
        if (untried.isEmpty()) {
            untried.addAll(allServices);
        }
        Instance service = untried.removeFirst();
        tries++;
        pendingTries.put(tries, new PendingTry(service, now));
        actions.add(new Action.Send(tries, service, dial));
    }

    private void answered(int number, ServiceAnswer answer, long now) {
        PendingTry pendingTry = pendingTries.remove(number);
        if (pendingTry == null) {
            return;
        }
        actions.add(new Action.RecordDuration(now - pendingTry.sentNanos()));
        ended = true;
        actions.add(new Action.Finish(List.of(new AnswerEvent.Body(answer.body()), End.done())));
    }

    private void tryFailed(int number, Throwable cause, long now) {
        PendingTry pendingTry = pendingTries.remove(number);
        if (pendingTry == null) {
            return;
        }
        actions.add(
                new Action.RecordEvent(
                        new Detail.EndpointFailed(pendingTry.service().id(), cause.toString())));
        switch (cause) {
            case RefusedException refused -> refused(refused, pendingTry.service(), now);
            case FailedException failed ->
                    finish(End.failed(Reason.ENDPOINT_FAILED, failed.getMessage()));
            default -> answerLost(now);
        }
    }

    private void refused(RefusedException cause, Instance service, long now) {
        switch (cause.reason()) {
            case UNREACHABLE -> {
                actions.add(new Action.ReportUnreachable(service));
                sendToUntried(now);
            }
            case DRAINING -> {
                actions.add(new Action.ReportLeaving(service));
                sendToUntried(now);
            }
            case INVALID ->
                    finish(
                            outcomeUnknown
                                    ? unknownEnd()
                                    : End.notRun(Reason.INVALID, cause.getMessage()));
            case OVERLOADED, NOT_HELD, STALE -> {
                refusal = Reason.OVERLOADED;
                if (mayRetry(now)) {
                    sendToUntried(now);
                } else {
                    giveUp();
                }
            }
        }
    }

    /**
     * Sends the call to an untried instance; nothing was executed, so the retry budget is not used.
     */
    private void sendToUntried(long now) {
        if (untried.isEmpty()) {
            giveUp();
        } else {
            send(Dial.FRESH, now);
        }
    }

    private void answerLost(long now) {
        outcomeUnknown = true;
        if (work.repeatable() && pendingTries.isEmpty() && mayRetry(now)) {
            send(Dial.FRESH, now);
        } else {
            giveUp();
        }
    }

    private boolean mayRetry(long now) {
        return tries < MAX_TRIES
                && retryBudget.tryRetry(work.call().workClass(), now, work.deadlineNanos());
    }

    private void hedge(long now) {
        if (!hedged && pendingTries.size() == 1 && mayRetry(now)) {
            hedged = true;
            send(Dial.FRESH, now);
        }
    }

    /** Ends the call unless another try is in flight. */
    private void giveUp() {
        if (pendingTries.isEmpty()) {
            String message = "no instance of the service takes the call";
            finish(outcomeUnknown ? unknownEnd() : End.notRun(refusal, message));
        }
    }

    private static End unknownEnd() {
        return End.unknown("no answer came; the call may have run");
    }

    private void finish(End end) {
        ended = true;
        actions.add(new Action.Finish(List.of(end)));
    }
}
