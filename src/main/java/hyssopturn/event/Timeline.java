package hyssopturn.event;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Events of many nodes in one order that respects cause and effect.
 *
 * @param entries entries in order
 * @param silent nodes that gave no answer
 */
public record Timeline(List<Entry> entries, List<String> silent) {
    private static final Comparator<Entry> ORDER =
            Comparator.comparing(Entry::stamp).thenComparing(Entry::node);

    /** Copies the lists. */
    public Timeline {
        entries = List.copyOf(entries);
        silent = List.copyOf(silent);
    }

    /**
     * What a reader wants to see; an empty part lets everything pass.
     *
     * @param request name of a request
     * @param workClass name of a class
     * @param endpoint name of an endpoint
     * @param account name of an account
     * @param fromMillis earliest time, in milliseconds since 1970
     * @param toMillis latest time, in milliseconds since 1970
     */
    public record Query(
            Optional<String> request,
            Optional<String> workClass,
            Optional<String> endpoint,
            Optional<String> account,
            long fromMillis,
            long toMillis) {
        /** Lets everything pass. */
        public static final Query ALL =
                new Query(
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        Long.MAX_VALUE);
    }

    /**
     * Merges what nodes gave.
     *
     * @param parts entries of each node
     * @param silent nodes that gave no answer
     * @param query what to keep
     * @return the time line
     */
    public static Timeline merge(Collection<List<Entry>> parts, List<String> silent, Query query) {
        List<Entry> all = parts.stream().flatMap(List::stream).sorted(ORDER).toList();
        Predicate<Entry> wanted = wanted(query, requests(all, query));
        return new Timeline(all.stream().filter(wanted).toList(), silent);
    }

    /** Finds the requests whose arrival matches, since later events name only the request. */
    private static Set<String> requests(List<Entry> all, Query query) {
        return all.stream()
                .filter(e -> e.request().isPresent())
                .filter(e -> matches(e, "class", query.workClass()))
                .filter(e -> matches(e, "account", query.account()))
                .map(e -> e.request().orElseThrow())
                .collect(Collectors.toSet());
    }

    private static Predicate<Entry> wanted(Query query, Set<String> requests) {
        List<Predicate<Entry>> tests = new ArrayList<>();
        tests.add(e -> e.stamp().millis() >= query.fromMillis());
        tests.add(e -> e.stamp().millis() <= query.toMillis());
        query.request().ifPresent(r -> tests.add(e -> e.request().equals(Optional.of(r))));
        query.endpoint().ifPresent(name -> tests.add(e -> touches(e, name)));
        if (query.workClass().isPresent() || query.account().isPresent()) {
            tests.add(e -> e.request().filter(requests::contains).isPresent());
        }
        return tests.stream().reduce(e -> true, Predicate::and);
    }

    private static boolean touches(Entry entry, String endpoint) {
        return matches(entry, "endpoint", Optional.of(endpoint))
                || entry.field("chain").filter(c -> c.contains(endpoint + ":")).isPresent();
    }

    private static boolean matches(Entry entry, String field, Optional<String> wanted) {
        return wanted.isEmpty() || entry.field(field).equals(wanted);
    }
}
