package hyssopturn.bench;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** A page with a table and plots over time. */
final class HtmlReport {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 220;
    private static final int MARGIN = 45;
    private static final List<String> COLOURS =
            List.of(
                    "#999999", "#1b9e77", "#d95f02", "#7570b3", "#e7298a", "#1f4fd8", "#66a61e",
                    "#a6761d");

    private final Report report;

    HtmlReport(Report report) {
        this.report = report;
    }

    String page() {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + report.scenario()
                + "</title><style>body{font:14px"
                + " sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em"
                + " .8em;text-align:right;border-bottom:1px solid #ddd}svg{display:block;margin:1em"
                + " 0}</style></head><body>"
                + "<h1>%s</h1><p>%s. Site %s, seed %d, %d requests. Bound: %.1f %% of the offered work.</p>"
                        .formatted(
                                report.scenario(),
                                report.about(),
                                report.site(),
                                report.seed(),
                                report.arrivals(),
                                100 * report.boundShare())
                + table()
                + legend()
                + plot("Share within target of requests by second of arrival", s -> s.share())
                + plot("Requests waiting", s -> s.waiting())
                + plot("Time to the first part, 95th percentile, ms", s -> s.firstMillis())
                + plot("Sum of the limits", s -> s.limit())
                + "</body></html>\n";
    }

    private String table() {
        return report.results().stream()
                .map(
                        r ->
                                "<tr><th>%s</th><td>%.1f</td><td>%.1f</td><td>%.1f</td><td>%.0f</td><td>%s</td></tr>"
                                        .formatted(
                                                r.variant(),
                                                100 * r.ofBound(),
                                                100 * r.share(),
                                                r.accountSpread(),
                                                r.recoverySeconds(),
                                                r.endings()))
                .collect(
                        Collectors.joining(
                                "\n",
                                "<table><tr><th>variant</th><th>% of bound</th><th>% in"
                                        + " target</th><th>account spread</th><th>recovery"
                                        + " s</th><th>endings</th></tr>",
                                "</table>"));
    }

    private String legend() {
        StringBuilder text = new StringBuilder("<p>");
        for (int i = 0; i < report.results().size(); i++) {
            text.append(
                    "<span style=\"color:%s\">&#9632; %s</span> "
                            .formatted(colour(i), report.results().get(i).variant()));
        }
        return text.append("</p>").toString();
    }

    private static String colour(int index) {
        return COLOURS.get(index % COLOURS.size());
    }

    private String plot(String title, ToDoubleFunction<Result.Second> value) {
        double top =
                report.results().stream()
                        .flatMap(r -> r.seconds().stream())
                        .mapToDouble(value)
                        .max()
                        .orElse(1);
        StringBuilder svg = new StringBuilder("<h2>" + title + "</h2>");
        svg.append("<svg width=\"%d\" height=\"%d\">".formatted(WIDTH, HEIGHT));
        svg.append(axis(top));
        for (int i = 0; i < report.results().size(); i++) {
            svg.append(
                    line(report.results().get(i).seconds(), value, Math.max(top, 1e-9), colour(i)));
        }
        return svg.append("</svg>").toString();
    }

    private static String axis(double top) {
        return ("<path d=\"M%d 10V%dH%d\" fill=\"none\" stroke=\"#888\"/>"
                        + "<text x=\"2\" y=\"16\">%.4g</text><text x=\"2\" y=\"%d\">0</text>")
                .formatted(MARGIN, HEIGHT - MARGIN, WIDTH - 10, top, HEIGHT - MARGIN);
    }

    private static String line(
            List<Result.Second> seconds,
            ToDoubleFunction<Result.Second> value,
            double top,
            String colour) {
        double perSecond = (WIDTH - MARGIN - 10.0) / Math.max(1, seconds.size());
        double high = HEIGHT - MARGIN - 10.0;
        String points =
                seconds.stream()
                        .map(
                                s ->
                                        String.format(
                                                Locale.ROOT,
                                                "%.1f,%.1f",
                                                MARGIN + perSecond * s.second(),
                                                10 + high * (1 - value.applyAsDouble(s) / top)))
                        .collect(Collectors.joining(" "));
        return "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\"/>".formatted(points, colour);
    }
}
