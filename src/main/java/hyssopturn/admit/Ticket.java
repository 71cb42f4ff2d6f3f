package hyssopturn.admit;

import hyssopturn.model.WorkClass;

import java.util.Comparator;

/** One request from its arrival at admission to its release; guarded by its pool's lock. */
final class Ticket {
    static final Comparator<Ticket> BY_ARRIVAL = Comparator.comparingLong(t -> t.sequence);
    static final Comparator<Ticket> BY_DEADLINE =
            Comparator.<Ticket>comparingLong(t -> t.deadlineNanos).thenComparing(BY_ARRIVAL);
    static final Comparator<Ticket> BY_LATEST_START =
            Comparator.<Ticket>comparingLong(t -> t.latestStartNanos).thenComparing(BY_ARRIVAL);
    static final Comparator<Ticket> BY_COST =
            Comparator.<Ticket>comparingDouble(t -> t.cost).thenComparing(BY_ARRIVAL);

    final Admission.Ask ask;
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
    double paceTotal;
    long paceIntervals;

    Ticket(Admission.Ask ask, long sequence) {
        this.ask = ask;
        this.sequence = sequence;
        workClass = ask.workClass();
    }

    /** What became of a request. */
    enum State {
        WAITING,
        RUNNING,
        ENDED
    }
}
