package hyssopturn.event;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Forms of a time line for people: text and one page of HTML that needs nothing else. */
public final class TimelinePage {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final String HEAD =
            """
            <!doctype html>
            <html lang="en"><head><meta charset="utf-8"><title>Time line</title>
            <style>
            body { font: 14px/1.4 sans-serif; margin: 2em; color: #222; }
            table { border-collapse: collapse; width: 100%; }
            th, td { text-align: left; padding: 2px 10px 2px 0; border-bottom: 1px solid #ddd;
              vertical-align: top; }
            td.time, td.request { font-family: monospace; white-space: nowrap; }
            tr.ended-done td.what { color: #17692c; } tr.bad td.what { color: #a61b1b; }
            p.silent { color: #a61b1b; font-weight: bold; }
            </style></head><body><h1>Time line</h1>
            """;

    private TimelinePage() {}

    /**
     * Writes a time line as text.
     *
     * @param timeline the time line
     * @return one line an event
     */
    public static String text(Timeline timeline) {
        String lines =
                timeline.entries().stream().map(TimelinePage::line).collect(Collectors.joining());
        return lines + silent(timeline.silent()).map(s -> s + "\n").orElse("");
    }

    private static String line(Entry entry) {
        return "%s %-10s %-16s %-30s %s%n"
                .formatted(
                        time(entry.stamp()),
                        entry.node(),
                        entry.what(),
                        entry.request().orElse("-"),
                        entry.describe());
    }

    private static String time(Stamp stamp) {
        String time = TIME.format(Instant.ofEpochMilli(stamp.millis()));
        return stamp.counter() == 0 ? time : time + "+" + stamp.counter();
    }

    private static Optional<String> silent(List<String> nodes) {
        return nodes.isEmpty()
                ? Optional.empty()
                : Optional.of("incomplete: no answer from " + String.join(", ", nodes));
    }

    /**
     * Writes a time line as HTML.
     *
     * @param timeline the time line
     * @return a whole page
     */
    public static String html(Timeline timeline) {
        StringBuilder page = new StringBuilder(HEAD);
        silent(timeline.silent())
                .ifPresent(
                        s -> page.append("<p class=\"silent\">").append(escape(s)).append("</p>"));
        page.append("<table><tr><th>Time (UTC)</th><th>Node</th><th>Event</th><th>Request</th>");
        page.append("<th>Detail</th></tr>\n");
        timeline.entries().forEach(entry -> page.append(row(entry)));
        return page.append("</table></body></html>\n").toString();
    }

    private static String row(Entry entry) {
        return ("<tr class=\"%s\"><td class=\"time\">%s</td><td>%s</td><td class=\"what\">%s</td>"
                        + "<td class=\"request\">%s</td><td>%s</td></tr>\n")
                .formatted(
                        style(entry),
                        time(entry.stamp()),
                        escape(entry.node()),
                        escape(entry.what()),
                        escape(entry.request().orElse("")),
                        escape(entry.describe()));
    }

    private static String style(Entry entry) {
        if (entry.what().equals("endpoint-failed")) {
            return "bad";
        }
        if (!entry.what().equals("ended")) {
            return "";
        }
        return entry.field("outcome").equals(Optional.of("done")) ? "ended-done" : "bad";
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
