package hyssopturn.admit;

import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;
import hyssopturn.model.RequestId;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;

import java.time.Duration;

/** Requests for tests. */
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

    static Admission.Ask ask(String account, WorkClass workClass, int maxTokens, long arrived) {
        RequestId id = new RequestId(account + "-" + arrived + "-" + maxTokens);
        return new Admission.Ask(id, new AccountId(account), workClass, 10, maxTokens, arrived);
    }

    /** Makes a ticket as a pool would that knows nothing yet. */
    static Ticket ticket(long number, String account, WorkClass workClass, int cost, long start) {
        Ticket ticket = new Ticket(ask(account, workClass, cost, 0), number);
        ticket.cost = cost;
        ticket.latestStartNanos = start;
        ticket.deadlineNanos = start;
        return ticket;
    }
}
