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
     * Creates admission control with empty queues.
     *
     * @param settings policy, limits and sizes
     * @param clock source of time and timers
     */
    public ScheduledAdmission(AdmitSettings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Permit> admit(Request request) {
        return shards.computeIfAbsent(poolKey(request.workClass().work()), name -> new Shard())
                .admit(request);
    }

    /** Returns the key of the queue and limit that a work uses. */
    static String poolKey(Work work) {
        return switch (work) {
            case Work.Generate(String model) -> "model " + model;
            case Work.Call(String service, boolean repeatable) -> "service " + service;
        };
    }

    /**
     * Applies new targets to waiting requests.
     *
     * @param config configuration that came into force
     */
    public void configured(Config config) {
        shards.values().forEach(s -> s.apply(() -> s.pool.reconfigure(config, clock.nanos())));
    }

    /**
     * Counts waiting requests.
     *
     * @return number of requests
     */
    public int waiting() {
        return sum(Pool::waiting);
    }

    /**
     * Counts running requests.
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

    private int sum(ToIntFunction<Pool> getter) {
        return shards.values().stream().mapToInt(s -> s.read(getter)).sum();
    }

    private final class Shard {
        private final Pool pool = new Pool(settings);
        private final Map<Ticket, CompletableFuture<Permit>> pendingResults =
                new ConcurrentHashMap<>();
        private final Queue<Decision> outbox = new ConcurrentLinkedQueue<>();
        private final AtomicInteger undelivered = new AtomicInteger();
        private long timerNanos = Long.MAX_VALUE;

        CompletableFuture<Permit> admit(Request request) {
            CompletableFuture<Permit> result = new CompletableFuture<>();
            Ticket ticket;
            synchronized (this) {
                ticket = pool.newTicket(request);
            }
            pendingResults.put(ticket, result);
            result.whenComplete((permit, error) -> removeIfCancelled(ticket, result));
            apply(() -> pool.offer(ticket, clock.nanos()));
            return result;
        }

        private void removeIfCancelled(Ticket ticket, CompletableFuture<Permit> result) {
            if (!result.isCancelled()) {
                return;
            }
            pendingResults.remove(ticket);
            synchronized (this) {
                pool.cancel(ticket);
            }
        }

        synchronized int read(ToIntFunction<Pool> getter) {
            return getter.applyAsInt(pool);
        }

        void apply(Supplier<List<Decision>> operation) {
            boolean schedule;
            long dueNanos;
            List<Decision> decisions;
            synchronized (this) {
                decisions = operation.get();
                // under the lock, so that decisions are delivered in the order they were made
                outbox.addAll(decisions);
                dueNanos = pool.dueNanos().orElse(Long.MAX_VALUE);
                schedule = dueNanos < timerNanos;
                timerNanos = Math.min(timerNanos, dueNanos);
            }
            if (schedule) {
                long delay = Math.max(0, dueNanos - clock.nanos());
                clock.after(Duration.ofNanos(delay), () -> onTimer(dueNanos));
            }
            deliver(decisions.size());
        }

        private void onTimer(long dueNanos) {
            apply(
                    () -> {
                        if (timerNanos != dueNanos) {
                            return List.of();
                        }
                        timerNanos = Long.MAX_VALUE;
                        return pool.poll(clock.nanos());
                    });
        }

        /**
         * Delivers decisions, one thread at a time and without recursion.
         *
         * @param added number of decisions that the caller has put into the outbox
         */
        private void deliver(int added) {
            if (added == 0 || undelivered.getAndAdd(added) > 0) {
                return;
            }
            do {
                deliver(outbox.remove());
            } while (undelivered.decrementAndGet() > 0);
        }

        private void deliver(Decision decision) {
            CompletableFuture<Permit> result = pendingResults.remove(decision.ticket());
            switch (decision) {
                case Decision.Start(Ticket ticket) -> {
                    Permit permit = new ShardPermit(this, ticket);
                    if (result == null || !result.complete(permit)) {
                        permit.release(new Usage(false, 0, Duration.ZERO));
                    }
                }
                case Decision.Refuse(var ticket, var reason, var retryAfter) -> {
                    if (result != null) {
                        result.completeExceptionally(
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
        public void firstPart() {
            nextPart();
        }

        @Override
        public void nextPart() {
            shard.apply(() -> shard.pool.recordPart(ticket, clock.nanos()));
        }

        @Override
        public void release(Usage usage) {
            shard.apply(() -> shard.pool.release(ticket, usage, clock.nanos()));
        }
    }
}
