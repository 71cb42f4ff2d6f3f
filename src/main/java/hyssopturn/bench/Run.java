package hyssopturn.bench;

import hyssopturn.model.RequestId;
import hyssopturn.node.Node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Runs one variant through one schedule. */
final class Run {
    private static final Duration DRAIN = Duration.ofSeconds(30);
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final World world;
    private final List<Served> served = new ArrayList<>();
    private final List<Gauge> gauges = new ArrayList<>();

    /** Sums over all nodes at the end of a second. */
    record Gauge(int waiting, int running, int limit) {}

    private Run(World world) {
        this.world = world;
    }

    /** Runs it to the end. */
    static Run of(World world, Scenario scenario, List<Arrival> arrivals) {
        Run run = new Run(world);
        world.start();
        arrivals.forEach(run::plan);
        for (long second = 0; second < scenario.length().toSeconds(); second++) {
            world.clock().advance(SECOND);
            run.gauges.add(new Gauge(world.waiting(), world.running(), world.limit()));
        }
        world.clock().advance(DRAIN);
        world.stop();
        return run;
    }

    private void plan(Arrival arrival) {
        Served entry = new Served(arrival);
        served.add(entry);
        world.clock().after(Duration.ofNanos(arrival.atNanos()), () -> send(entry));
    }

    private void send(Served entry) {
        Optional<Node> node = world.node(entry.arrival().balance());
        if (node.isEmpty()) {
            return;
        }
        RequestId request = node.get().submit(entry.arrival().call());
        node.get()
                .answer(request, 0)
                .ifPresent(
                        answer -> answer.subscribe().with(event -> entry.on(event, world.nanos())));
    }

    List<Served> served() {
        return served;
    }

    List<Gauge> gauges() {
        return gauges;
    }
}
