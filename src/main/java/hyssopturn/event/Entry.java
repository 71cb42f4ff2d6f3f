package hyssopturn.event;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * One line of a time line, as read from some node.
 *
 * @param stamp when it happened
 * @param node where it happened
 * @param request request that it belongs to, if any
 * @param what kind of event
 * @param fields further fields by name
 */
public record Entry(
        Stamp stamp,
        String node,
        Optional<String> request,
        String what,
        Map<String, String> fields) {
    /** Copies the fields. */
    public Entry {
        fields = Map.copyOf(fields);
    }

    /**
     * Reads a field.
     *
     * @param name name of the field
     * @return its value, if the event has it
     */
    public Optional<String> field(String name) {
        return Optional.ofNullable(fields.get(name));
    }

    /**
     * Describes the fields for people.
     *
     * @return name and value of each, in order of name
     */
    public String describe() {
        return new TreeMap<>(fields)
                .entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue())
                        .collect(Collectors.joining(" "));
    }
}
