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
 * One call of a service: where it is sent, whether it is sent again and how it ends.
 *
 * <p>A call that must not be repeated goes on only while it certainly did not run. It is sent over
 * a new connection, for an old one may have gone silent and would leave it in doubt.
 */
final class CallRun {
    private static final int GREATEST_TRIES = 4;

    private final ServiceWork work;
    private final List<Instance> all;
    private final List<Instance> untried;
    private final RetryBudget retries;
    private final Duration hedgeDelay;
    private final Map<Integer, Sent> underWay = new HashMap<>();
    private List<Action> actions = new ArrayList<>();
    private Reason refusal = Reason.NO_ENDPOINT;
    private int tries;
    private boolean doubt;
    private boolean hedged;
    private boolean ended;

    /** What happens to a call. */
    sealed interface Event {
        /** The call may begin. */
        record Started() implements Event {}

        /** A sending was answered. */
        record Answered(int number, ServiceAnswer answer) implements Event {}

        /** A sending failed. */
        record Broke(int number, Throwable cause) implements Event {}

        /** The call takes long. */
        record Slow() implements Event {}
    }

    /** What a call wants done. */
    sealed interface Action {
        /** Sends the call. */
        record Send(int number, Instance service, Dial dial) implements Action {}

        /** Asks to be told when the call takes long. */
        record Watch(Duration delay) implements Action {}

        /** Learns how long a sending took, in nanoseconds. */
        record Learn(long nanos) implements Action {}

        /** Tells others that a service takes no connections. */
        record Unreachable(Instance service) implements Action {}

        /** Tells others that a service is leaving. */
        record Leaving(Instance service) implements Action {}

        /** Records an event for the time line. */
        record Note(Detail detail) implements Action {}

        /** Gives the caller the answer. */
        record Finish(List<AnswerEvent> answer) implements Action {}
    }

    private record Sent(Instance service, long nanos) {}

    /**
     * Creates a call that was not sent.
     *
     * @param work the call
     * @param services instances of the service, in the order in which they are tried
     * @param retries budget of sendings after the first
     * @param hedgeDelay time after which a call that may be repeated is sent twice
     */
    CallRun(ServiceWork work, List<Instance> services, RetryBudget retries, Duration hedgeDelay) {
        this.work = work;
        all = List.copyOf(services);
        untried = new ArrayList<>(services);
        this.retries = retries;
        this.hedgeDelay = hedgeDelay;
    }

    /**
     * Takes in what happened.
     *
     * @param event what happened
     * @param now when, on the node's monotonic clock
     * @return what to do, in order
     */
    List<Action> on(Event event, long now) {
        actions = new ArrayList<>();
        if (!ended) {
            switch (event) {
                case Event.Started started -> begin(now);
                case Event.Answered(int number, ServiceAnswer answer) ->
                        answered(number, answer, now);
                case Event.Broke(int number, Throwable cause) -> broke(number, cause, now);
                case Event.Slow slow -> hedge(now);
            }
        }
        return actions;
    }

    private void begin(long now) {
        retries.firstTry(work.call().workClass());
        if (untried.isEmpty()) {
            giveUp();
            return;
        }
        send(work.repeatable() ? Dial.POOLED : Dial.FRESH, now);
        if (work.repeatable() && !ended) {
            actions.add(new Action.Watch(hedgeDelay));
        }
    }

    private void send(Dial dial, long now) {
        if (!work.maySend().getAsBoolean()) {
            finish(doubt ? unknown() : End.notRun(Reason.DEADLINE, "the time to send has passed"));
            return;
        }
        if (untried.isEmpty()) {
            untried.addAll(all);
        }
        Instance service = untried.removeFirst();
        tries++;
        underWay.put(tries, new Sent(service, now));
        actions.add(new Action.Send(tries, service, dial));
    }

    private void answered(int number, ServiceAnswer answer, long now) {
        Sent sent = underWay.remove(number);
        if (sent == null) {
            return;
        }
        actions.add(new Action.Learn(now - sent.nanos()));
        ended = true;
        actions.add(new Action.Finish(List.of(new AnswerEvent.Body(answer.body()), End.done())));
    }

    private void broke(int number, Throwable cause, long now) {
        Sent sent = underWay.remove(number);
        if (sent == null) {
            return;
        }
        actions.add(
                new Action.Note(new Detail.EndpointFailed(sent.service().id(), cause.toString())));
        switch (cause) {
            case RefusedException refused -> refused(refused, sent.service(), now);
            case FailedException failed ->
                    finish(End.failed(Reason.ENDPOINT_FAILED, failed.getMessage()));
            default -> lost(now);
        }
    }

    private void refused(RefusedException cause, Instance service, long now) {
        switch (cause.reason()) {
            case UNREACHABLE -> {
                actions.add(new Action.Unreachable(service));
                elsewhere(now);
            }
            case DRAINING -> {
                actions.add(new Action.Leaving(service));
                elsewhere(now);
            }
            case INVALID ->
                    finish(doubt ? unknown() : End.notRun(Reason.INVALID, cause.getMessage()));
            case OVERLOADED, NOT_HELD, STALE -> {
                refusal = Reason.OVERLOADED;
                if (mayRetry(now)) {
                    elsewhere(now);
                } else {
                    giveUp();
                }
            }
        }
    }

    /** Goes on to an instance not tried before, which costs no retry: nothing ran. */
    private void elsewhere(long now) {
        if (untried.isEmpty()) {
            giveUp();
        } else {
            send(Dial.FRESH, now);
        }
    }

    private void lost(long now) {
        doubt = true;
        if (work.repeatable() && underWay.isEmpty() && mayRetry(now)) {
            send(Dial.FRESH, now);
        } else {
            giveUp();
        }
    }

    private boolean mayRetry(long now) {
        return tries < GREATEST_TRIES
                && retries.tryRetry(work.call().workClass(), now, work.deadlineNanos());
    }

    private void hedge(long now) {
        if (!hedged && underWay.size() == 1 && mayRetry(now)) {
            hedged = true;
            send(Dial.FRESH, now);
        }
    }

    /** Ends the call unless another sending is still under way. */
    private void giveUp() {
        if (underWay.isEmpty()) {
            String message = "no instance of the service takes the call";
            finish(doubt ? unknown() : End.notRun(refusal, message));
        }
    }

    private static End unknown() {
        return End.unknown("no answer came; the call may have run");
    }

    private void finish(End end) {
        ended = true;
        actions.add(new Action.Finish(List.of(end)));
    }
}
