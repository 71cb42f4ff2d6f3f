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
 * What the logs of all processes say of one request, with the state that decided it.
 *
 * <p>Beside the request's own lines stand what its nodes last knew of configuration and
 * dependencies, and changes of the endpoints that it was offered to, shortly before and during it.
 */
public final class Story {
    /** How long before the request's first line changes of its endpoints are of interest. */
    private static final long CONTEXT_MILLIS = 5_000;

    private static final String ENDED = "Ended";
    private static final Set<String> STATE = Set.of("ConfigInForce", "Dependency", "Started");

    private final List<JsonNode> lines;
    private final int foreign;

    private Story(List<JsonNode> lines, int foreign) {
        this.lines = lines;
        this.foreign = foreign;
    }

    /**
     * Collects the story of a request.
     *
     * @param request id of the request
     * @param text lines of all log files; lines of other programs and torn ones are passed over
     * @return the story, without lines if the request is not on record
     */
    public static Story of(String request, List<String> text) {
        ObjectMapper mapper = new ObjectMapper();
        List<JsonNode> all = new ArrayList<>();
        int foreign = 0;
        for (String line : text) {
            Optional<JsonNode> read = read(mapper, line);
            read.ifPresent(all::add);
            foreign += read.isPresent() ? 0 : 1;
        }
        all.sort(Comparator.comparingLong(Story::millis));
        List<JsonNode> own = all.stream().filter(line -> names(line, request)).toList();
        if (own.isEmpty()) {
            return new Story(List.of(), foreign);
        }
        List<JsonNode> lines = new ArrayList<>(context(all, own));
        lines.addAll(own);
        lines.sort(Comparator.comparingLong(Story::millis));
        return new Story(lines, foreign);
    }

    private static Optional<JsonNode> read(ObjectMapper mapper, String line) {
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

    private static boolean names(JsonNode line, String request) {
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

    private static List<JsonNode> context(List<JsonNode> all, List<JsonNode> own) {
        Set<String> nodes = new HashSet<>();
        Set<String> endpoints = new HashSet<>();
        for (JsonNode line : own) {
            nodes.add(line.path("node").asText());
            endpoints.add(line.path("endpoint").asText());
            for (String hop : line.path("chain").asText().split(",", -1)) {
                endpoints.add(hop.replaceAll("=.*", ""));
            }
        }
        long first = millis(own.getFirst());
        long last = millis(own.getLast());
        List<JsonNode> context = new ArrayList<>();
        for (String node : nodes) {
            for (String event : STATE) {
                all.stream()
                        .filter(l -> l.path("node").asText().equals(node))
                        .filter(l -> l.path("event").asText().equals(event))
                        .filter(l -> millis(l) <= first)
                        .reduce((a, b) -> b)
                        .ifPresent(context::add);
            }
        }
        all.stream()
                .filter(l -> l.path("event").asText().equals("EndpointChanged"))
                .filter(l -> nodes.contains(l.path("node").asText()))
                .filter(l -> endpoints.contains(l.path("endpoint").asText()))
                .filter(l -> millis(l) >= first - CONTEXT_MILLIS && millis(l) <= last)
                .forEach(context::add);
        return context;
    }

    private static long millis(JsonNode line) {
        return line.path("wall_ms").asLong();
    }

    /**
     * Tells whether the request is on record.
     *
     * @return true if at least one line names it
     */
    public boolean known() {
        return !lines.isEmpty();
    }

    /**
     * Returns the lines in order of time.
     *
     * @return the lines
     */
    public List<JsonNode> lines() {
        return lines;
    }

    /**
     * Counts lines that were passed over.
     *
     * @return number of torn lines and lines of other programs
     */
    public int foreign() {
        return foreign;
    }

    /**
     * Names what ended the request.
     *
     * @return outcome and cause in words
     */
    public String cause() {
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
