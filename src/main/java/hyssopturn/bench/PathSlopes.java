package hyssopturn.bench;

import hyssopturn.helper.Check;

import java.util.List;

/** Slopes of the way of a request through a node over loopback. */
final class PathSlopes {
    private static final int STREAMS = 64;
    private static final int TOKENS = 200;

    private PathSlopes() {}

    static List<Slopes.Measurement> all() {
        return List.of(PathSlopes::tokenTime, PathSlopes::requestTime, PathSlopes::openStreams);
    }

    private static Slope tokenTime() {
        return Slopes.measure(
                "path of a token",
                "stages of its chain",
                "µs of CPU a token",
                stages -> {
                    try (LoopbackPath path = new LoopbackPath((int) stages)) {
                        path.run(STREAMS, TOKENS);
                        long warm = path.run(STREAMS, TOKENS).tokens();
                        LoopbackPath.Cost cost = path.run(STREAMS, TOKENS);
                        Check.that(warm == cost.tokens(), "the same streams give the same tokens");
                        return cost.micros() / cost.tokens();
                    }
                },
                1,
                2,
                4);
    }

    private static Slope requestTime() {
        return Slopes.measure(
                "path of a request",
                "requests of one token over 3 stages",
                "µs of CPU",
                requests -> {
                    try (LoopbackPath path = new LoopbackPath(3)) {
                        path.run((int) requests, 1);
                        long warm = path.run((int) requests, 1).tokens();
                        Check.that(warm == (long) requests, "every request gives its token");
                        return path.run((int) requests, 1).micros();
                    }
                },
                250,
                500,
                1_000);
    }

    private static Slope openStreams() {
        return Slopes.measure(
                "requests in progress",
                "requests",
                "bytes",
                requests -> new StalledPath((int) requests).heldBytes(),
                500,
                1_000,
                2_000);
    }
}
