package hyssopturn.admit;

import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;
import hyssopturn.model.RequestId;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;

import java.time.Duration;

/** Creates requests and tickets for tests. */
final class Tickets {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    private Tickets() {}

    static WorkClass stream(String name, long firstMillis) {
        return new WorkClass(
                new ClassName(name),
                new Work.Generate("atelier"),
                new Target.Stream(Duration.ofMillis(firstMillis), Duration.ofMillis(100)),
                0.95);
    }

    static Admission.Request request(
            String account, WorkClass workClass, int maxTokens, long arrivedNanos) {
        RequestId id = new RequestId(account + "-" + arrivedNanos + "-" + maxTokens);
        return new Admission.Request(
                id, new AccountId(account), workClass, 10, maxTokens, arrivedNanos);
    }

    /** Creates a ticket whose latest start time is its deadline, as in a pool without samples. */
    static Ticket ticket(
            long sequence, String account, WorkClass workClass, int cost, long deadlineNanos) {
        Ticket ticket = new Ticket(request(account, workClass, cost, 0), sequence);
        ticket.cost = cost;
        ticket.latestStartNanos = deadlineNanos;
        ticket.deadlineNanos = deadlineNanos;
        return ticket;
    }
}
