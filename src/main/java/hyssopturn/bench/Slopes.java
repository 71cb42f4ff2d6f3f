package hyssopturn.bench;

import hyssopturn.bench.Slope.Point;
import hyssopturn.helper.Check;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;

/** Measures what each role costs at several sizes, on this machine. */
public final class Slopes {
    private static final String HEAD =
            """
            | role | grows with | measured | slope | fixed |
            |---|---|---|---|---|
            """;

    private Slopes() {}

    /** A slope that can be measured. */
    @FunctionalInterface
    public interface Measurement {
        /**
         * Measures the slope.
         *
         * @return the slope
         */
        Slope run();
    }

    /**
     * Lists every measurement.
     *
     * @return the measurements in the order of the page
     */
    public static List<Measurement> all() {
        List<Measurement> all = new ArrayList<>(StateSlopes.all());
        all.addAll(LedgerSlopes.all());
        all.addAll(PathSlopes.all());
        return all;
    }

    /**
     * Measures everything.
     *
     * @return a table in Markdown
     */
    public static String table() {
        return HEAD
                + all().stream().map(m -> m.run().row()).collect(Collectors.joining("\n"))
                + "\n";
    }

    /** Measures a cost at several sizes, once before to warm up. */
    static Slope measure(
            String role, String size, String unit, DoubleUnaryOperator cost, double... sizes) {
        double warmUp = alone(cost, sizes[0]);
        Check.that(!Double.isNaN(warmUp), "a cost must be a number");
        List<Point> points = new ArrayList<>();
        for (double at : sizes) {
            points.add(new Point(at, alone(cost, at)));
        }
        return new Slope(role, size, unit, points);
    }

    /** Measures on a thread of its own, whose stack holds nothing of earlier measurements. */
    private static double alone(DoubleUnaryOperator cost, double size) {
        return CompletableFuture.supplyAsync(
                        () -> cost.applyAsDouble(size), task -> Thread.ofPlatform().start(task))
                .join();
    }
}
