package hyssopturn.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Cost of a role as it grows with one size.
 *
 * @param role role that costs
 * @param size what grows
 * @param unit unit of the cost
 * @param points costs at some sizes, at least two
 */
public record Slope(String role, String size, String unit, List<Point> points) {
    /** Copies the points. */
    public Slope {
        points = List.copyOf(points);
    }

    /**
     * A cost at a size.
     *
     * @param size the size
     * @param cost the cost
     */
    public record Point(double size, double cost) {}

    /**
     * Fits a line by least squares.
     *
     * @return cost that one more of the size adds
     */
    public double perUnit() {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanCost = points.stream().mapToDouble(Point::cost).average().orElseThrow();
        double covariance =
                points.stream()
                        .mapToDouble(p -> (p.size() - meanSize) * (p.cost() - meanCost))
                        .sum();
        double variance = points.stream().mapToDouble(p -> Math.pow(p.size() - meanSize, 2)).sum();
        return covariance / variance;
    }

    /**
     * Returns the fitted cost at a size of zero.
     *
     * @return the fixed part of the cost
     */
    public double fixed() {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanCost = points.stream().mapToDouble(Point::cost).average().orElseThrow();
        return meanCost - perUnit() * meanSize;
    }

    /**
     * Writes the slope as a row of a table.
     *
     * @return Markdown
     */
    public String row() {
        String measured =
                points.stream()
                        .map(p -> "%.0f: %s".formatted(p.size(), number(p.cost())))
                        .collect(Collectors.joining(", "));
        return "| %s | %s | %s | %s %s | %s |"
                .formatted(role, size, measured, number(perUnit()), unit, number(fixed()));
    }

    private static String number(double value) {
        double size = Math.abs(value);
        if (size >= 100) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        return String.format(Locale.ROOT, size >= 1 ? "%.2f" : "%.4f", value);
    }
}
