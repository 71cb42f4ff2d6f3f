package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.WorkClass;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Runs random histories of requests through a pool and checks its invariants after each step. */
class PoolFuzzTest {
    private static final List<WorkClass> CLASSES =
            List.of(Tickets.stream("sheet", 1_000), Tickets.stream("note", 400));
    private static final int INITIAL = 3;
    private static final int CAPACITY = 40;

    /**
     * One step of a history.
     *
     * @param kind 0 to 3 offers a request, 4 to 6 releases a running one, 7 and 8 record a part of
     *     an answer, 9 cancels a waiting request, the others advance the clock
     * @param selector selects the class, the request or the time to advance
     * @param account number of the account
     */
    record Op(int kind, int selector, int account) {}

    @Provide
    Arbitrary<List<Op>> histories() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 11),
                        Arbitraries.integers().between(0, 1_000),
                        Arbitraries.integers().between(0, 5))
                .as(Op::new)
                .list()
                .ofMinSize(50)
                .ofMaxSize(250);
    }

    @Property(tries = 100, seed = "7")
    void everyHistoryKeepsTheInvariants(
            @ForAll("histories") List<Op> history, @ForAll Policy policy, @ForAll LimitKind kind) {
        Pool pool = new Pool(new AdmitSettings(policy, kind, INITIAL, 8, CAPACITY));
        assertThat(new History(pool).run(history), is(Optional.empty()));
    }

    /** Runs a history and returns the first invariant that did not hold, if any. */
    private static class History {
        final Pool pool;
        private final Set<Ticket> waiting = new HashSet<>();
        private final List<Ticket> running = new ArrayList<>();
        private final Set<Ticket> ended = new HashSet<>();
        private long now = 1;
        private String violated;

        History(Pool pool) {
            this.pool = pool;
        }

        /** Returns the decisions of the pool; a mutation overrides this to change them. */
        List<Decision> observed(List<Decision> decisions) {
            return decisions;
        }

        Optional<String> run(List<Op> history) {
            for (Op op : history) {
                int limitBefore = pool.limit();
                step(op);
                check(limitBefore);
                if (violated != null) {
                    return Optional.of(violated);
                }
            }
            return Optional.empty();
        }

        private void step(Op op) {
            switch (op.kind()) {
                case 0, 1, 2, 3 -> arrive(op);
                case 4, 5, 6 -> release(op);
                case 7, 8 -> part(op);
                case 9 -> cancel(op);
                default -> {
                    now += op.selector() * Tickets.MILLI / 4;
                    apply(pool.poll(now));
                }
            }
        }

        private void arrive(Op op) {
            WorkClass workClass = CLASSES.get(op.selector() % CLASSES.size());
            Ticket ticket =
                    pool.newTicket(Tickets.request("account-" + op.account(), workClass, 20, now));
            waiting.add(ticket);
            apply(pool.offer(ticket, now));
        }

        private void release(Op op) {
            if (!running.isEmpty()) {
                Ticket ticket = running.remove(op.selector() % running.size());
                ended.add(ticket);
                Admission.Usage usage =
                        new Admission.Usage(true, 20, Duration.ofMillis(op.selector()));
                apply(pool.release(ticket, usage, now));
                // a second release must change nothing
                apply(pool.release(ticket, usage, now));
            }
        }

        private void part(Op op) {
            if (!running.isEmpty()) {
                now += Tickets.MILLI * (op.selector() % 90);
                apply(pool.recordPart(running.get(op.selector() % running.size()), now));
            }
        }

        private void cancel(Op op) {
            Optional<Ticket> selected =
                    waiting.stream()
                            .sorted(Ticket.BY_ARRIVAL)
                            .skip(op.selector() % Math.max(1, waiting.size()))
                            .findFirst();
            if (selected.isPresent() && pool.cancel(selected.get())) {
                waiting.remove(selected.get());
                ended.add(selected.get());
            }
        }

        private void apply(List<Decision> decisions) {
            for (Decision decision : observed(decisions)) {
                Ticket ticket = decision.ticket();
                invariant(waiting.remove(ticket), "decided once");
                invariant(!ended.contains(ticket), "not after its end");
                switch (decision) {
                    case Decision.Start start -> running.add(ticket);
                    case Decision.Refuse refuse -> ended.add(ticket);
                }
            }
        }

        private void check(int limitBefore) {
            int maxLimit = Math.max(limitBefore, pool.limit());
            boolean open = pool.policy() == Policy.OPEN;
            invariant(pool.running() == running.size(), "running as counted");
            invariant(pool.waiting() == waiting.size(), "none lost");
            invariant(pool.limit() >= 1 && pool.limit() <= 8, "limit within bounds");
            invariant(open || startedWithin(maxLimit), "not above the limit");
            invariant(pool.waiting() == 0 || pool.running() >= pool.limit(), "no slot idle");
        }

        private int runningBefore;

        /** After the limit shrinks, more requests than it allows may run, but none may start. */
        private boolean startedWithin(int maxLimit) {
            boolean within = running.size() <= Math.max(maxLimit, runningBefore);
            runningBefore = running.size();
            return within;
        }

        private void invariant(boolean holds, String name) {
            if (!holds && violated == null) {
                violated = name;
            }
        }
    }

    @Nested
    class MutationsAreDetected {
        private final List<Op> history = history();

        private static List<Op> history() {
            Random random = new Random(11);
            List<Op> ops = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                ops.add(new Op(random.nextInt(12), random.nextInt(1_001), random.nextInt(6)));
            }
            return ops;
        }

        private static Pool pool() {
            return new Pool(
                    new AdmitSettings(Policy.FAIR, LimitKind.GRADIENT, INITIAL, 8, CAPACITY));
        }

        @Test
        void decisionIsLost() {
            History mutant =
                    new History(pool()) {
                        @Override
                        List<Decision> observed(List<Decision> decisions) {
                            return decisions.size() > 1
                                    ? decisions.subList(1, decisions.size())
                                    : decisions;
                        }
                    };
            assertThat(mutant.run(history), is(Optional.of("none lost")));
        }

        @Test
        void decisionIsDuplicated() {
            History mutant =
                    new History(pool()) {
                        @Override
                        List<Decision> observed(List<Decision> decisions) {
                            List<Decision> doubled = new ArrayList<>(decisions);
                            doubled.addAll(decisions);
                            return doubled;
                        }
                    };
            assertThat(mutant.run(history), is(Optional.of("decided once")));
        }

        @Test
        void slotStaysIdle() {
            Pool idle =
                    new Pool(
                            new AdmitSettings(Policy.FAIR, LimitKind.FIXED, INITIAL, 8, CAPACITY)) {
                        @Override
                        boolean hasFreeSlot() {
                            return running() < limit() - 1;
                        }
                    };
            assertThat(new History(idle).run(history), is(Optional.of("no slot idle")));
        }

        @Test
        void startAboveTheLimit() {
            Pool greedy =
                    new Pool(
                            new AdmitSettings(Policy.FAIR, LimitKind.FIXED, INITIAL, 8, CAPACITY)) {
                        @Override
                        boolean hasFreeSlot() {
                            return running() <= limit();
                        }
                    };
            assertThat(new History(greedy).run(history), is(Optional.of("not above the limit")));
        }
    }
}
