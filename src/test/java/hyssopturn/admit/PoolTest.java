package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.Reason;
import hyssopturn.model.WorkClass;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

class PoolTest {
    private static final WorkClass SHEET = Tickets.stream("sheet", 1_000);
    private static final WorkClass NOTE = Tickets.stream("note", 400);

    private final Pool pool = new Pool(new AdmitSettings(Policy.FAIR, LimitKind.FIXED, 1, 8, 4));

    private Ticket offer(String account, WorkClass workClass, long now) {
        Ticket ticket = pool.ticket(Tickets.ask(account, workClass, 20, now));
        verdicts = pool.offer(ticket, now);
        return ticket;
    }

    private List<Verdict> verdicts = List.of();

    /** Runs one request alone, so that the pool learns how long the first token takes. */
    private void learn(WorkClass workClass, long firstMillis) {
        Ticket ticket = offer("teacher", workClass, 0);
        pool.part(ticket, firstMillis * Tickets.MILLI);
        pool.release(ticket, new Admission.Use(true, 1, Duration.ZERO), 0);
    }

    @Nested
    class Feasibility {
        @Test
        void refusesAtOnceWhatCannotFinishInTime() {
            learn(NOTE, 500);
            offer("ana", NOTE, 0);
            Verdict.Refuse refusal = (Verdict.Refuse) verdicts.getFirst();
            assertThat(refusal.reason(), is(Reason.DEADLINE));
        }

        @Test
        void startsWhatCanFinishInTime() {
            learn(NOTE, 390);
            offer("ana", NOTE, 0);
            assertThat(verdicts, contains(instanceOf(Verdict.Start.class)));
        }

        @Test
        void refusesWhatWaitedTooLong() {
            learn(NOTE, 100);
            offer("ana", NOTE, 0);
            Ticket late = offer("eva", NOTE, 0);
            assertThat(verdicts, is(empty()));
            long due = pool.dueNanos().orElseThrow();
            assertThat(pool.poll(due - 1), is(empty()));
            Verdict.Refuse refusal = (Verdict.Refuse) pool.poll(due).getFirst();
            assertThat(refusal.ticket(), is(late));
        }
    }

    @Nested
    class Order {
        @Test
        void startsTheMostUrgentFirst() {
            Ticket running = offer("ana", SHEET, 0);
            offer("eva", SHEET, 0);
            Ticket urgent = offer("lia", NOTE, 0);
            Admission.Use use = new Admission.Use(true, 1, Duration.ZERO);
            verdicts = pool.release(running, use, Tickets.MILLI);
            assertThat(verdicts.getFirst().ticket(), is(urgent));
        }

        @Test
        void letsNoAccountFillTheQueue() {
            offer("ana", SHEET, 0);
            offer("flood", SHEET, 0);
            offer("flood", SHEET, 0);
            offer("flood", SHEET, 0);
            assertThat(verdicts, contains(instanceOf(Verdict.Refuse.class)));
            offer("eva", SHEET, 0);
            assertThat(verdicts, is(empty()));
        }
    }

    @Nested
    class Reconfiguration {
        @Test
        void appliesATighterTargetToWaitingRequests() {
            offer("ana", SHEET, 0);
            Ticket waiting = offer("eva", SHEET, 0);
            WorkClass tighter = Tickets.stream("sheet", 50);
            Config config =
                    new Config(2, Map.of(), Map.of(new ClassName("sheet"), tighter), Set.of());
            assertThat(pool.reconfigure(config, Tickets.MILLI), is(empty()));
            assertThat(pool.dueNanos().orElseThrow(), is(50 * Tickets.MILLI + 1));
            assertThat(waiting.workClass, is(tighter));
        }

        @Test
        void keepsTheTargetOfAClassThatIsGone() {
            offer("ana", SHEET, 0);
            offer("eva", SHEET, 0);
            pool.reconfigure(Config.EMPTY, Tickets.MILLI);
            assertThat(pool.waiting(), is(1));
            assertThat(pool.dueNanos().orElseThrow(), is(1_000 * Tickets.MILLI + 1));
        }
    }
}
