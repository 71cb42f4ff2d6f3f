package hyssopturn.run;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.standin.EngineProfile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/** A sequence of requests and faults played in a town. */
final class Story {
    private static final List<LayerRange> LAYOUT =
            List.of(
                    new LayerRange(0, 2),
                    new LayerRange(2, 4),
                    new LayerRange(4, 6),
                    new LayerRange(0, 3),
                    new LayerRange(3, 6),
                    new LayerRange(1, 5),
                    new LayerRange(0, 4),
                    new LayerRange(2, 6));
    private static final int GREATEST_LAG_MILLIS = 1_500;
    private static final int ACTIVATION_BYTES = 4_000;
    private static final double SLOW = 12;
    private static final Duration DEAD_LAG = Duration.ofMillis(500);
    private static final Duration END = Duration.ofMinutes(2);
    private static final Duration QUARTER = Duration.ofMillis(250);

    private final Town town;
    private final List<Address> live = new ArrayList<>();
    private int number;

    /** What happens next. */
    enum Kind {
        START,
        STEP,
        LOSE_REQUEST,
        LOSE_ANSWER,
        DELAY,
        KILL,
        FREEZE,
        THAW,
        CUT,
        HEAL,
        SILENCE,
        SLOW,
        JOIN,
        LEAVE,
        CANCEL
    }

    /** One thing that happens to a target, and the pause after it. */
    record Op(Kind kind, int target, int pauseMillis) {}

    private Story(Town town) {
        this.town = town;
    }

    /** Plays a story and checks it; with a safe engine every answer must be whole. */
    static Town play(long seed, List<Op> ops, boolean safe, UnaryOperator<RunMachine> wrapper) {
        Town town = new Town(seed, true, ACTIVATION_BYTES, wrapper);
        Story story = new Story(town);
        story.build(safe);
        ops.forEach(story::play);
        story.finish();
        town.check(safe);
        return town;
    }

    static List<Op> random(long seed, int size) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Op> ops = new ArrayList<>();
        ops.add(new Op(Kind.START, random.nextInt(1_000), 5));
        ops.add(new Op(Kind.START, random.nextInt(1_000), 5));
        Kind[] kinds = Kind.values();
        for (int i = 0; i < size; i++) {
            Kind kind = kinds[random.nextInt(kinds.length)];
            ops.add(new Op(kind, random.nextInt(1_000), random.nextInt(120)));
        }
        return ops;
    }

    private void build(boolean safe) {
        LAYOUT.forEach(this::join);
        if (safe) {
            EngineProfile slow = EngineProfile.quick().slower(SLOW);
            town.engine(number++, 0, Town.MODEL.layers(), slow);
        }
        town.look();
    }

    private void join(LayerRange layers) {
        EngineProfile profile = EngineProfile.quick().slower(1 + number % 3);
        live.add(town.engine(number++, layers.from(), layers.to(), profile));
    }

    private void play(Op op) {
        switch (op.kind()) {
            case START -> town.start(1 + op.target() % 6, 1 + op.target() % 24);
            case JOIN -> join(LAYOUT.get(op.target() % LAYOUT.size()));
            case CANCEL -> cancel(op.target());
            case STEP -> town.clock.advance(Duration.ofMillis(5));
            default -> {
                if (!live.isEmpty()) {
                    harm(op.kind(), live.get(op.target() % live.size()));
                }
            }
        }
        Duration lag = Duration.ofMillis(town.random.nextInt(GREATEST_LAG_MILLIS));
        town.clock.after(lag, town::look);
        town.clock.advance(Duration.ofMillis(op.pauseMillis()));
    }

    private void harm(Kind kind, Address at) {
        FaultyEngines.Host host = town.engines.host(at);
        switch (kind) {
            case LOSE_REQUEST -> host.requestsToLose++;
            case LOSE_ANSWER -> host.answersToLose++;
            case DELAY -> host.jitter = true;
            case KILL -> kill(at);
            case FREEZE -> host.frozen = true;
            case THAW -> town.engines.thaw(at);
            case CUT -> host.cut = true;
            case HEAL -> host.cut = false;
            case SILENCE -> host.pooledSilent = true;
            case SLOW -> host.engine.slowdown(SLOW);
            case LEAVE -> leave(at, host);
            default -> throw new AssertionError(kind);
        }
    }

    private void kill(Address at) {
        town.engines.kill(at);
        live.remove(at);
        town.clock.after(DEAD_LAG, () -> town.instances.remove(at));
    }

    private void leave(Address at, FaultyEngines.Host host) {
        host.engine.draining(town.random.nextBoolean());
        town.leave(at);
        live.remove(at);
    }

    private void cancel(int target) {
        if (town.readers.isEmpty()) {
            return;
        }
        Town.Reader reader = town.readers.get(target % town.readers.size());
        if (reader.end().isEmpty()) {
            reader.cancelled = true;
            reader.subscription.cancel();
        }
    }

    private void finish() {
        live.forEach(
                at -> {
                    FaultyEngines.Host host = town.engines.host(at);
                    host.cut = false;
                    host.jitter = false;
                    host.pooledSilent = false;
                    host.engine.slowdown(1);
                    town.engines.thaw(at);
                });
        town.look();
        long end = town.clock.nanos() + END.toNanos();
        while (town.open() > 0 && town.clock.nanos() < end) {
            town.clock.advance(QUARTER);
        }
        town.clock.advance(Duration.ofSeconds(5));
    }
}
