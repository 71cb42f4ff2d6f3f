package hyssopturn.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The log lines of all processes about one request, with the state that its decisions depended on.
 *
 * <p>Besides the request's own lines these are its nodes' last lines about configuration and
 * dependencies, and the changes of the endpoints that it was offered to, shortly before and during
 * the request.
 */
public final class RequestTrace {
    /** How long before the request's first line changes of its endpoints are included. */
    private static final long CONTEXT_MILLIS = 5_000;

    private static final String ENDED = "Ended";
    private static final Set<String> STATE_EVENTS =
            Set.of("ConfigInForce", "Dependency", "Started");

    private final List<JsonNode> lines;
    private final int skipped;

    private RequestTrace(List<JsonNode> lines, int skipped) {
        this.lines = lines;
        this.skipped = skipped;
    }

    /**
     * Collects the lines of a request.
     *
     * @param request id of the request
     * @param logLines lines of all log files; lines of other programs and incomplete ones are
     *     skipped
     * @return the trace, without lines if no line names the request
     */
    public static RequestTrace of(String request, List<String> logLines) {
        ObjectMapper mapper = new ObjectMapper();
        List<JsonNode> all = new ArrayList<>();
        int skipped = 0;
        for (String line : logLines) {
            Optional<JsonNode> parsed = parse(mapper, line);
            parsed.ifPresent(all::add);
            skipped += parsed.isPresent() ? 0 : 1;
        }
        all.sort(Comparator.comparingLong(RequestTrace::millis));
        List<JsonNode> requestLines = all.stream().filter(line -> mentions(line, request)).toList();
        if (requestLines.isEmpty()) {
            return new RequestTrace(List.of(), skipped);
        }
        List<JsonNode> lines = new ArrayList<>(context(all, requestLines));
        lines.addAll(requestLines);
        lines.sort(Comparator.comparingLong(RequestTrace::millis));
        return new RequestTrace(lines, skipped);
    }

    private static Optional<JsonNode> parse(ObjectMapper mapper, String line) {
        int begin = line.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = mapper.readTree(line.substring(begin));
            return Optional.of(node).filter(n -> n.has("event") && n.has("wall_ms"));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static boolean mentions(JsonNode line, String request) {
        if (line.path("request").asText().equals(request)) {
            return true;
        }
        for (JsonNode id : line.path("requests")) {
            if (id.asText().equals(request)) {
                return true;
            }
        }
        return false;
    }

    private static List<JsonNode> context(List<JsonNode> all, List<JsonNode> requestLines) {
        Set<String> nodes = new HashSet<>();
        Set<String> endpoints = new HashSet<>();
        for (JsonNode line : requestLines) {
            nodes.add(line.path("node").asText());
            endpoints.add(line.path("endpoint").asText());
            for (String hop : line.path("chain").asText().split(",", -1)) {
                endpoints.add(hop.replaceAll("=.*", ""));
            }
        }
        long first = millis(requestLines.getFirst());
        long last = millis(requestLines.getLast());
        List<JsonNode> context = new ArrayList<>();
        for (String node : nodes) {
            for (String event : STATE_EVENTS) {
                all.stream()
                        .filter(l -> l.path("node").asText().equals(node))
                        .filter(l -> l.path("event").asText().equals(event))
                        .filter(l -> millis(l) <= first)
                        .reduce((a, b) -> b)
                        .ifPresent(context::add);
            }
        }
        all.stream()
                .filter(l -> nodes.contains(l.path("node").asText()))
                .filter(l -> changesOneOf(endpoints, l))
                .filter(l -> millis(l) >= first - CONTEXT_MILLIS && millis(l) <= last)
                .forEach(context::add);
        return context;
    }

    private static boolean changesOneOf(Set<String> endpoints, JsonNode line) {
        return switch (line.path("event").asText()) {
            case "EndpointChanged" -> endpoints.contains(line.path("endpoint").asText());
            case "EndpointsListed" ->
                    line.path("endpoints")
                            .valueStream()
                            .anyMatch(e -> endpoints.contains(e.asText()));
            default -> false;
        };
    }

    private static long millis(JsonNode line) {
        return line.path("wall_ms").asLong();
    }

    /**
     * Returns whether the request was found.
     *
     * @return true if at least one line names it
     */
    public boolean found() {
        return !lines.isEmpty();
    }

    /**
     * Returns the lines in chronological order.
     *
     * @return the lines
     */
    public List<JsonNode> lines() {
        return lines;
    }

    /**
     * Returns the number of lines that were skipped.
     *
     * @return number of incomplete lines and of lines of other programs
     */
    public int skipped() {
        return skipped;
    }

    /**
     * Describes how the request ended.
     *
     * @return outcome, status and cause
     */
    public String summary() {
        Optional<JsonNode> end =
                lines.stream()
                        .filter(l -> l.path("event").asText().equals(ENDED))
                        .reduce((a, b) -> b);
        if (end.isEmpty()) {
            return "no end on record: its process ended, or the line was left out";
        }
        String cause = end.get().path("cause").asText();
        return "%s, status %d%s"
                .formatted(
                        end.get().path("outcome").asText(),
                        end.get().path("status").asInt(),
                        cause.isEmpty() ? "" : ": " + cause);
    }
}
