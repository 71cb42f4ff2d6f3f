package hyssopturn.admit;

import hyssopturn.model.Config;
import hyssopturn.model.Work;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/** Admission with one queue and one limit for each model or service, each under its own lock. */
public final class ScheduledAdmission implements Admission {
    private final AdmitSettings settings;
    private final Clock clock;
    private final Map<String, Shard> shards = new ConcurrentHashMap<>();

    /**
     * Creates admission with empty queues.
     *
     * @param settings policy, limits and sizes
     * @param clock time
     */
    public ScheduledAdmission(AdmitSettings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Permit> admit(Ask ask) {
        return shards.computeIfAbsent(pool(ask.workClass().work()), name -> new Shard()).admit(ask);
    }

    static String pool(Work work) {
        return switch (work) {
            case Work.Generate(String model) -> "model " + model;
            case Work.Call(String service, boolean repeatable) -> "service " + service;
        };
    }

    /**
     * Applies new targets, also to requests that wait.
     *
     * @param config configuration that came into force
     */
    public void configured(Config config) {
        shards.values().forEach(s -> s.apply(() -> s.pool.reconfigure(config, clock.nanos())));
    }

    /**
     * Counts requests that wait.
     *
     * @return number of requests
     */
    public int waiting() {
        return sum(Pool::waiting);
    }

    /**
     * Counts requests that run.
     *
     * @return number of requests
     */
    public int running() {
        return sum(Pool::running);
    }

    /**
     * Sums the limits of all models and services in use.
     *
     * @return number of requests that may run at once
     */
    public int limit() {
        return sum(Pool::limit);
    }

    private int sum(ToIntFunction<Pool> figure) {
        return shards.values().stream().mapToInt(s -> s.read(figure)).sum();
    }

    private final class Shard {
        private final Pool pool = new Pool(settings);
        private final Map<Ticket, CompletableFuture<Permit>> answers = new ConcurrentHashMap<>();
        private final Queue<Verdict> outbox = new ConcurrentLinkedQueue<>();
        private final AtomicInteger undelivered = new AtomicInteger();
        private long armedNanos = Long.MAX_VALUE;

        CompletableFuture<Permit> admit(Ask ask) {
            CompletableFuture<Permit> answer = new CompletableFuture<>();
            Ticket ticket;
            synchronized (this) {
                ticket = pool.ticket(ask);
            }
            answers.put(ticket, answer);
            answer.whenComplete((permit, error) -> settled(ticket, answer));
            apply(() -> pool.offer(ticket, clock.nanos()));
            return answer;
        }

        private void settled(Ticket ticket, CompletableFuture<Permit> answer) {
            if (!answer.isCancelled()) {
                return;
            }
            answers.remove(ticket);
            synchronized (this) {
                pool.cancel(ticket);
            }
        }

        synchronized int read(ToIntFunction<Pool> figure) {
            return figure.applyAsInt(pool);
        }

        void apply(Supplier<List<Verdict>> decision) {
            boolean arm;
            long due;
            List<Verdict> verdicts;
            synchronized (this) {
                verdicts = decision.get();
                // under the lock, so that verdicts go out in the order of the decisions
                outbox.addAll(verdicts);
                due = pool.dueNanos().orElse(Long.MAX_VALUE);
                arm = due < armedNanos;
                armedNanos = Math.min(armedNanos, due);
            }
            if (arm) {
                long delay = Math.max(0, due - clock.nanos());
                clock.after(Duration.ofNanos(delay), () -> due(due));
            }
            deliver(verdicts.size());
        }

        private void due(long dueNanos) {
            apply(
                    () -> {
                        if (armedNanos != dueNanos) {
                            return List.of();
                        }
                        armedNanos = Long.MAX_VALUE;
                        return pool.poll(clock.nanos());
                    });
        }

        /** Hands verdicts out, one thread at a time and without recursion. */
        private void deliver(int added) {
            if (added == 0 || undelivered.getAndAdd(added) > 0) {
                return;
            }
            do {
                deliver(outbox.remove());
            } while (undelivered.decrementAndGet() > 0);
        }

        private void deliver(Verdict verdict) {
            CompletableFuture<Permit> answer = answers.remove(verdict.ticket());
            switch (verdict) {
                case Verdict.Start(Ticket ticket) -> {
                    Permit permit = new ShardPermit(this, ticket);
                    if (answer == null || !answer.complete(permit)) {
                        permit.release(new Use(false, 0, Duration.ZERO));
                    }
                }
                case Verdict.Refuse(var ticket, var reason, var retryAfter) -> {
                    if (answer != null) {
                        answer.completeExceptionally(
                                new AdmissionRefusedException(
                                        reason, "it cannot run within its target", retryAfter));
                    }
                }
            }
        }
    }

    private final class ShardPermit implements Permit {
        private final Shard shard;
        private final Ticket ticket;

        ShardPermit(Shard shard, Ticket ticket) {
            this.shard = shard;
            this.ticket = ticket;
        }

        @Override
        public void first() {
            part();
        }

        @Override
        public void part() {
            shard.apply(() -> shard.pool.part(ticket, clock.nanos()));
        }

        @Override
        public void release(Use use) {
            shard.apply(() -> shard.pool.release(ticket, use, clock.nanos()));
        }
    }
}
