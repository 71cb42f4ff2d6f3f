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

/** Histories of requests through a pool, held against what any history must keep. */
class PoolFuzzTest {
    private static final List<WorkClass> CLASSES =
            List.of(Tickets.stream("sheet", 1_000), Tickets.stream("note", 400));
    private static final int INITIAL = 3;
    private static final int CAPACITY = 40;

    /** One step; what it does depends on the kind. */
    record Op(int kind, int pick, int account) {}

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
    void everyHistoryKeepsTheRules(
            @ForAll("histories") List<Op> history, @ForAll Policy policy, @ForAll LimitKind kind) {
        Pool pool = new Pool(new AdmitSettings(policy, kind, INITIAL, 8, CAPACITY));
        assertThat(new History(pool).run(history), is(Optional.empty()));
    }

    /** Runs a history and says which rule broke, if any. */
    private static class History {
        final Pool pool;
        private final Set<Ticket> waiting = new HashSet<>();
        private final List<Ticket> running = new ArrayList<>();
        private final Set<Ticket> ended = new HashSet<>();
        private long now = 1;
        private String broken;

        History(Pool pool) {
            this.pool = pool;
        }

        /** What the pool decided; a mutation changes it. */
        List<Verdict> seen(List<Verdict> verdicts) {
            return verdicts;
        }

        Optional<String> run(List<Op> history) {
            for (Op op : history) {
                int limitBefore = pool.limit();
                step(op);
                check(limitBefore);
                if (broken != null) {
                    return Optional.of(broken);
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
                    now += op.pick() * Tickets.MILLI / 4;
                    apply(pool.poll(now));
                }
            }
        }

        private void arrive(Op op) {
            WorkClass workClass = CLASSES.get(op.pick() % CLASSES.size());
            Ticket ticket = pool.ticket(Tickets.ask("account-" + op.account(), workClass, 20, now));
            waiting.add(ticket);
            apply(pool.offer(ticket, now));
        }

        private void release(Op op) {
            if (!running.isEmpty()) {
                Ticket ticket = running.remove(op.pick() % running.size());
                ended.add(ticket);
                Admission.Use use = new Admission.Use(true, 20, Duration.ofMillis(op.pick()));
                apply(pool.release(ticket, use, now));
                // a second release must change nothing
                apply(pool.release(ticket, use, now));
            }
        }

        private void part(Op op) {
            if (!running.isEmpty()) {
                now += Tickets.MILLI * (op.pick() % 90);
                apply(pool.part(running.get(op.pick() % running.size()), now));
            }
        }

        private void cancel(Op op) {
            Optional<Ticket> some =
                    waiting.stream()
                            .sorted(Ticket.BY_ARRIVAL)
                            .skip(op.pick() % Math.max(1, waiting.size()))
                            .findFirst();
            if (some.isPresent() && pool.cancel(some.get())) {
                waiting.remove(some.get());
                ended.add(some.get());
            }
        }

        private void apply(List<Verdict> verdicts) {
            for (Verdict verdict : seen(verdicts)) {
                Ticket ticket = verdict.ticket();
                rule(waiting.remove(ticket), "decided once");
                rule(!ended.contains(ticket), "not after its end");
                switch (verdict) {
                    case Verdict.Start start -> running.add(ticket);
                    case Verdict.Refuse refuse -> ended.add(ticket);
                }
            }
        }

        private void check(int limitBefore) {
            int most = Math.max(limitBefore, pool.limit());
            boolean open = pool.policy() == Policy.OPEN;
            rule(pool.running() == running.size(), "running as counted");
            rule(pool.waiting() == waiting.size(), "none lost");
            rule(pool.limit() >= 1 && pool.limit() <= 8, "limit within bounds");
            rule(open || startedWithin(most), "not above the limit");
            rule(pool.waiting() == 0 || pool.running() >= pool.limit(), "no slot idle");
        }

        private int runningBefore;

        /** A limit that shrinks may leave more running, but none may be added. */
        private boolean startedWithin(int most) {
            boolean within = running.size() <= Math.max(most, runningBefore);
            runningBefore = running.size();
            return within;
        }

        private void rule(boolean holds, String name) {
            if (!holds && broken == null) {
                broken = name;
            }
        }
    }

    @Nested
    class MutationsAreCaught {
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
        void entryThatIsLost() {
            History mutant =
                    new History(pool()) {
                        @Override
                        List<Verdict> seen(List<Verdict> verdicts) {
                            return verdicts.size() > 1
                                    ? verdicts.subList(1, verdicts.size())
                                    : verdicts;
                        }
                    };
            assertThat(mutant.run(history), is(Optional.of("none lost")));
        }

        @Test
        void entryThatIsDoubled() {
            History mutant =
                    new History(pool()) {
                        @Override
                        List<Verdict> seen(List<Verdict> verdicts) {
                            List<Verdict> doubled = new ArrayList<>(verdicts);
                            doubled.addAll(verdicts);
                            return doubled;
                        }
                    };
            assertThat(mutant.run(history), is(Optional.of("decided once")));
        }

        @Test
        void slotThatStaysIdle() {
            Pool idle =
                    new Pool(
                            new AdmitSettings(Policy.FAIR, LimitKind.FIXED, INITIAL, 8, CAPACITY)) {
                        @Override
                        boolean room() {
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
                        boolean room() {
                            return running() <= limit();
                        }
                    };
            assertThat(new History(greedy).run(history), is(Optional.of("not above the limit")));
        }
    }
}
