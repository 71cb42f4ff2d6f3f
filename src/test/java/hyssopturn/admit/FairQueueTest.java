package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import hyssopturn.admit.WaitQueue.Supply;
import hyssopturn.model.WorkClass;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

class FairQueueTest {
    private static final List<WorkClass> CLASSES =
            List.of(Tickets.stream("sheet", 1_000), Tickets.stream("note", 500));

    /**
     * One step of a history.
     *
     * @param kind 0 to 3 adds a request; 4 to 6 starts the next one, at 4 as the most urgent one
     *     and at 5 and 6 in the fair mode; 7 ends a running request that met the target, 8 one that
     *     did not; 9 removes a waiting request
     * @param workClass index of the class
     * @param account number of the account
     * @param cost cost of an added request, otherwise selects the request to end or to remove
     * @param start latest start time of an added request, in milliseconds from now
     */
    record Op(int kind, int workClass, int account, int cost, int start) {}

    @Provide
    Arbitrary<List<Op>> histories() {
        Arbitrary<Op> op =
                Combinators.combine(
                                Arbitraries.integers().between(0, 9),
                                Arbitraries.integers().between(0, 1),
                                Arbitraries.integers().between(0, 4),
                                Arbitraries.integers().between(1, 50),
                                Arbitraries.integers().between(0, 3_000))
                        .as(Op::new);
        return op.list().ofMinSize(30).ofMaxSize(120);
    }

    @Property(tries = 150, seed = "5")
    void startsTheSameRequestsAsTheReferenceImplementation(@ForAll("histories") List<Op> history) {
        assertThat(trace(history, new FairQueue()), is(trace(history, new NaiveFairQueue())));
    }

    /** Runs a history; returns the sequence numbers of the started tickets in order. */
    private static List<Long> trace(List<Op> history, WaitQueue queue) {
        List<Long> order = new ArrayList<>();
        List<Ticket> waiting = new ArrayList<>();
        List<Ticket> running = new ArrayList<>();
        long now = 0;
        long number = 0;
        for (Op op : history) {
            now += 20 * Tickets.MILLI;
            switch (op.kind()) {
                case 0, 1, 2, 3 -> {
                    Ticket ticket =
                            Tickets.ticket(
                                    number++,
                                    "account-" + op.account(),
                                    CLASSES.get(op.workClass()),
                                    op.cost(),
                                    now + op.start() * Tickets.MILLI);
                    queue.add(ticket);
                    waiting.add(ticket);
                }
                case 4, 5, 6 -> {
                    double rate = op.kind() == 4 ? Double.POSITIVE_INFINITY : 0;
                    Optional<Ticket> next = queue.next(new Supply(now, 0, -1, rate));
                    if (next.isPresent()) {
                        queue.remove(next.get());
                        queue.started(next.get(), now);
                        waiting.remove(next.get());
                        running.add(next.get());
                        order.add(next.get().sequence);
                    }
                }
                case 7, 8 -> {
                    if (!running.isEmpty()) {
                        Ticket ended = running.remove(op.cost() % running.size());
                        queue.ended(ended, op.kind() == 7, now);
                    }
                }
                default -> {
                    if (!waiting.isEmpty()) {
                        Ticket removed = waiting.remove(op.cost() % waiting.size());
                        queue.remove(removed);
                    }
                }
            }
        }
        return order;
    }

    @Nested
    class MutationsAreDetected {
        private final List<Op> history = history();

        private static List<Op> history() {
            Random random = new Random(3);
            List<Op> ops = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                ops.add(
                        new Op(
                                random.nextInt(10),
                                random.nextInt(2),
                                random.nextInt(5),
                                1 + random.nextInt(50),
                                random.nextInt(3_000)));
            }
            return ops;
        }

        private void assertDetected(WaitQueue mutant) {
            assertThat(trace(history, mutant), is(not(trace(history, new NaiveFairQueue()))));
        }

        @Test
        void servedCostIsNotCharged() {
            assertDetected(
                    new DelegatingQueue() {
                        @Override
                        public void started(Ticket ticket, long now) {}
                    });
        }

        @Test
        void attainmentIsNotCounted() {
            assertDetected(
                    new DelegatingQueue() {
                        @Override
                        public void ended(Ticket ticket, boolean met, long now) {}
                    });
        }

        @Test
        void fairnessIsIgnored() {
            assertDetected(
                    new DelegatingQueue() {
                        @Override
                        public Optional<Ticket> next(Supply supply) {
                            return delegate.mostUrgent();
                        }
                    });
        }
    }

    /** Queue that delegates to a fair queue; each mutation overrides one method. */
    private static class DelegatingQueue implements WaitQueue {
        final FairQueue delegate = new FairQueue();

        @Override
        public void add(Ticket ticket) {
            delegate.add(ticket);
        }

        @Override
        public boolean remove(Ticket ticket) {
            return delegate.remove(ticket);
        }

        @Override
        public Optional<Ticket> next(Supply supply) {
            return delegate.next(supply);
        }

        @Override
        public Optional<Ticket> mostUrgent() {
            return delegate.mostUrgent();
        }

        @Override
        public void started(Ticket ticket, long now) {
            delegate.started(ticket, now);
        }

        @Override
        public void ended(Ticket ticket, boolean met, long now) {
            delegate.ended(ticket, met, now);
        }

        @Override
        public boolean accepts(Ticket ticket, int capacity) {
            return delegate.accepts(ticket, capacity);
        }

        @Override
        public int size() {
            return delegate.size();
        }
    }

    @Nested
    class Accounts {
        @Test
        void floodingAccountGetsNoMoreThanItsShareWhileOthersWait() {
            FairQueue queue = new FairQueue();
            long number = 0;
            for (int i = 0; i < 1_000; i++) {
                queue.add(Tickets.ticket(number++, "flood", CLASSES.get(0), 10, i));
            }
            for (int i = 0; i < 10; i++) {
                queue.add(Tickets.ticket(number++, "small", CLASSES.get(0), 10, 5_000 + i));
            }
            Map<String, Integer> served = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                Ticket next = queue.next(new Supply(i, 0, -1, 0)).orElseThrow();
                queue.remove(next);
                queue.started(next, i);
                served.merge(next.request.account().value(), 1, Integer::sum);
            }
            assertThat(served, is(Map.of("flood", 10, "small", 10)));
        }

        @Test
        void overServedAccountWithTheLowestTagDoesNotBlockOthersOfItsClass() {
            FairQueue queue = new FairQueue();
            long number = 0;
            for (int i = 0; i < 60; i++) {
                String account = i < 12 ? "account-" + i % 4 : "flood";
                Ticket ticket = Tickets.ticket(number++, account, CLASSES.get(0), 10, i);
                queue.add(ticket);
                queue.remove(ticket);
                queue.started(ticket, i);
            }
            queue.add(Tickets.ticket(number++, "flood", CLASSES.get(0), 10, 0));
            Ticket small = Tickets.ticket(number, "account-1", CLASSES.get(0), 10, 5_000);
            queue.add(small);
            queue.refused(small, 100);
            Supply onlyReserve = new Supply(100, 5, 5, 0);
            assertThat(queue.next(onlyReserve), is(Optional.of(small)));
            queue.remove(small);
            assertThat(queue.next(onlyReserve), is(Optional.empty()));
        }

        @Test
        void stateOfIdleAccountsIsBounded() {
            ClassQueue queue = new ClassQueue();
            for (int i = 0; i < 28_000; i++) {
                Ticket ticket = Tickets.ticket(i, "account-" + i, CLASSES.get(0), 5, i);
                queue.add(ticket);
                queue.remove(ticket);
                queue.started(ticket, i);
            }
            assertThat(queue.idleAccounts(), is(lessThanOrEqualTo(ClassQueue.MAX_IDLE_ACCOUNTS)));
        }
    }
}
