package hyssopturn.admit;

import hyssopturn.model.WorkClass;

import java.util.Comparator;

/** State of one request from its arrival to its release; guarded by the lock of its pool. */
final class Ticket {
    static final Comparator<Ticket> BY_ARRIVAL = Comparator.comparingLong(t -> t.sequence);
    static final Comparator<Ticket> BY_DEADLINE =
            Comparator.<Ticket>comparingLong(t -> t.deadlineNanos).thenComparing(BY_ARRIVAL);
    static final Comparator<Ticket> BY_LATEST_START =
            Comparator.<Ticket>comparingLong(t -> t.latestStartNanos).thenComparing(BY_ARRIVAL);
    static final Comparator<Ticket> BY_COST =
            Comparator.<Ticket>comparingDouble(t -> t.cost).thenComparing(BY_ARRIVAL);

    final Admission.Request request;
    final long sequence;
    WorkClass workClass;
    State state = State.WAITING;
    long deadlineNanos;
    long latestStartNanos;
    double cost;
    long startedNanos;
    long firstNanos;
    long lastNanos;
    int parts;
    double intervalMeanSumAtFirstPart;
    long intervalCountAtFirstPart;

    Ticket(Admission.Request request, long sequence) {
        this.request = request;
        this.sequence = sequence;
        workClass = request.workClass();
    }

    /** Progress of a request. */
    enum State {
        WAITING,
        RUNNING,
        ENDED
    }
}
