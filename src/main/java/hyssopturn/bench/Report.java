package hyssopturn.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Figures of all variants in one scenario.
 *
 * @param scenario name of the scenario
 * @param about what it shows
 * @param site whose installation ran
 * @param seed seed of the schedule
 * @param arrivals number of requests that arrived
 * @param capacity work that the bound allows, in units of one generated token a second
 * @param boundShare share of the offered work that could be finished in time
 * @param results figures of each variant
 */
public record Report(
        String scenario,
        String about,
        String site,
        long seed,
        int arrivals,
        double capacity,
        double boundShare,
        List<Result> results) {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final double PERCENT = 100;

    /** Copies the list. */
    public Report {
        results = List.copyOf(results);
    }

    /**
     * Writes the figures as JSON.
     *
     * @return the document
     */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("figures cannot be written", e);
        }
    }

    /**
     * Writes the figures as a table for people.
     *
     * @return several lines
     */
    public String text() {
        String head =
                "%s (%s, seed %d): %s%n%d requests, bound %.1f %% of the offered work%n"
                        .formatted(scenario, site, seed, about, arrivals, PERCENT * boundShare);
        String columns =
                "%-14s %8s %8s %8s %7s %9s %9s  %s%n"
                        .formatted(
                                "variant",
                                "of bound",
                                "share",
                                "worst cl",
                                "spread",
                                "recovery",
                                "flood",
                                "endings");
        return results.stream()
                .map(Report::line)
                .collect(Collectors.joining("", head + columns, ""));
    }

    private static String line(Result r) {
        double worst =
                r.classes().values().stream()
                        .mapToDouble(Result.ClassResult::ofBound)
                        .min()
                        .orElse(0);
        return "%-14s %7.1f%% %7.1f%% %7.1f%% %7.1f %8.0fs %9.1f  %s%n"
                .formatted(
                        r.variant(),
                        PERCENT * r.ofBound(),
                        PERCENT * r.share(),
                        PERCENT * worst,
                        r.accountSpread(),
                        r.recoverySeconds(),
                        r.othersCost(),
                        r.endings());
    }

    /**
     * Writes the figures and their course over time as a page that needs nothing else.
     *
     * @return the HTML document
     */
    public String html() {
        return new HtmlReport(this).page();
    }
}
