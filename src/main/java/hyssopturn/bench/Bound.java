package hyssopturn.bench;

import hyssopturn.model.Target;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The most work that any schedule could finish within its target.
 *
 * <p>Work is a fluid: each request's must be done between its arrival and the time by which its
 * last token is due, and parts of requests count. Earliest deadline first is then the best order,
 * so no router can do more. Nor can it do more in the long run than the engines can in the time
 * over which the measured requests arrive, which cuts off what a run that starts and ends empty
 * adds.
 */
final class Bound {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final double NANOS_PER_SECOND = 1e9;

    private double offered;
    private double room;
    private double served;

    private Bound() {}

    private static final class Job {
        private final long deadline;
        private final boolean measured;
        private double left;

        Job(Arrival arrival) {
            deadline = arrival.atNanos() + allowed(arrival);
            measured = arrival.atNanos() >= Scenario.WARM_UP.toNanos();
            left = arrival.work();
        }
    }

    private static long allowed(Arrival arrival) {
        return switch (arrival.workClass().target()) {
            case Target.Stream(Duration first, Duration between) ->
                    first.toNanos() + between.toNanos() * (arrival.tokens() - 1);
            case Target.Answer(Duration first) -> first.toNanos();
        };
    }

    /** Computes the bound of a schedule. */
    static Bound of(Fleet fleet, Duration between, Duration length, List<Arrival> arrivals) {
        Bound bound = new Bound();
        bound.room = room(fleet, between, length);
        PriorityQueue<Job> waiting = new PriorityQueue<>(Comparator.comparingLong(j -> j.deadline));
        int next = 0;
        Duration at = Duration.ZERO;
        while (next < arrivals.size() || !waiting.isEmpty()) {
            Duration end = at.plus(TICK);
            while (next < arrivals.size() && arrivals.get(next).atNanos() < end.toNanos()) {
                Job job = new Job(arrivals.get(next++));
                bound.offered += job.measured ? job.left : 0;
                waiting.add(job);
            }
            double room = fleet.capacity(between, at) * TICK.toNanos() / NANOS_PER_SECOND;
            bound.serve(waiting, at.toNanos(), room);
            at = end;
        }
        return bound;
    }

    private static double room(Fleet fleet, Duration between, Duration length) {
        double sum = 0;
        for (Duration at = Scenario.WARM_UP; at.compareTo(length) < 0; at = at.plus(TICK)) {
            sum += fleet.capacity(between, at) * TICK.toNanos() / NANOS_PER_SECOND;
        }
        return sum;
    }

    private void serve(PriorityQueue<Job> waiting, long now, double room) {
        double rest = room;
        while (!waiting.isEmpty() && rest > 0) {
            Job job = waiting.peek();
            if (job.deadline <= now) {
                waiting.poll();
                continue;
            }
            double part = Math.min(rest, job.left);
            job.left -= part;
            rest -= part;
            served += job.measured ? part : 0;
            if (job.left <= 0) {
                waiting.poll();
            }
        }
    }

    /** Returns the work that could be finished in time, in units of one generated token. */
    double work() {
        return Math.min(served, room);
    }

    /** Returns the share of the offered work that could be finished in time. */
    double share() {
        return offered == 0 ? 1 : work() / offered;
    }
}
