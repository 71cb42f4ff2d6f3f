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
        Ticket ticket = pool.newTicket(Tickets.request(account, workClass, 20, now));
        decisions = pool.offer(ticket, now);
        return ticket;
    }

    private List<Decision> decisions = List.of();

    /** Runs a single request, so that the pool learns the time to the first token. */
    private void trainPredictor(WorkClass workClass, long firstMillis) {
        Ticket ticket = offer("teacher", workClass, 0);
        pool.recordPart(ticket, firstMillis * Tickets.MILLI);
        pool.release(ticket, new Admission.Usage(true, 1, Duration.ZERO), 0);
    }

    @Nested
    class Feasibility {
        @Test
        void refusesOnArrivalARequestThatCannotMeetItsTarget() {
            trainPredictor(NOTE, 500);
            offer("ana", NOTE, 0);
            Decision.Refuse refusal = (Decision.Refuse) decisions.getFirst();
            assertThat(refusal.reason(), is(Reason.DEADLINE));
        }

        @Test
        void startsARequestThatCanMeetItsTarget() {
            trainPredictor(NOTE, 390);
            offer("ana", NOTE, 0);
            assertThat(decisions, contains(instanceOf(Decision.Start.class)));
        }

        @Test
        void refusesARequestThatWaitedTooLong() {
            trainPredictor(NOTE, 100);
            offer("ana", NOTE, 0);
            Ticket late = offer("eva", NOTE, 0);
            assertThat(decisions, is(empty()));
            long due = pool.dueNanos().orElseThrow();
            assertThat(pool.poll(due - 1), is(empty()));
            Decision.Refuse refusal = (Decision.Refuse) pool.poll(due).getFirst();
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
            Admission.Usage usage = new Admission.Usage(true, 1, Duration.ZERO);
            decisions = pool.release(running, usage, Tickets.MILLI);
            assertThat(decisions.getFirst().ticket(), is(urgent));
        }

        @Test
        void letsNoAccountFillTheQueue() {
            offer("ana", SHEET, 0);
            offer("flood", SHEET, 0);
            offer("flood", SHEET, 0);
            offer("flood", SHEET, 0);
            assertThat(decisions, contains(instanceOf(Decision.Refuse.class)));
            offer("eva", SHEET, 0);
            assertThat(decisions, is(empty()));
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
        void keepsTheTargetOfARemovedClass() {
            offer("ana", SHEET, 0);
            offer("eva", SHEET, 0);
            pool.reconfigure(Config.EMPTY, Tickets.MILLI);
            assertThat(pool.waiting(), is(1));
            assertThat(pool.dueNanos().orElseThrow(), is(1_000 * Tickets.MILLI + 1));
        }
    }
}
