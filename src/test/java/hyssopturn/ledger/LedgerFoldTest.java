package hyssopturn.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.AccountId;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Outcome;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Groups, copies and carried entries must change nothing against a fold of one entry a record. */
class LedgerFoldTest {
    private static final Duration KEEP = Duration.ofDays(1);
    private static final int AUTHORS = 3;
    private static final int KEYS = 4;

    /** One thing that an author does. */
    sealed interface Act {
        record Claim(int author, int key, int body) implements Act {}

        record End(int author, boolean good) implements Act {}

        record GiveBack(int author) implements Act {}

        record Flush(int author, boolean twice) implements Act {}

        record Carry(int author) implements Act {}
    }

    /** What callers can tell of a key. */
    record Seen(int body, Optional<Outcome> outcome) {}

    /** First claim wins, whoever gives it back frees it: maps and nothing else. */
    private static final class Naive {
        private final Map<Integer, Seen> seen = new HashMap<>();
        private final Map<Integer, ClaimId> owners = new HashMap<>();

        void claim(ClaimId claim, int key, int body) {
            if (owners.putIfAbsent(key, claim) == null) {
                seen.put(key, new Seen(body, Optional.empty()));
            }
        }

        void end(ClaimId claim, int key, Outcome outcome) {
            if (claim.equals(owners.get(key))) {
                seen.computeIfPresent(key, (k, s) -> new Seen(s.body(), Optional.of(outcome)));
            }
        }

        void giveBack(ClaimId claim, int key) {
            if (owners.remove(key, claim)) {
                seen.remove(key);
            }
        }
    }

    private static final class Author {
        private final String name;
        private final List<LedgerEntry> queue = new ArrayList<>();
        private final Map<Integer, ClaimId> open = new HashMap<>();
        private long claims;
        private long sequence;

        Author(String name) {
            this.name = name;
        }
    }

    private final LedgerFold fold = new LedgerFold(KEEP);
    private final LedgerFold late = new LedgerFold(KEEP);
    private final List<Batch> stream = new ArrayList<>();
    private final Naive naive = new Naive();
    private final List<Author> authors = new ArrayList<>();

    private void run(List<Act> acts) {
        for (int i = 0; i < AUTHORS; i++) {
            authors.add(new Author("author-" + i));
        }
        acts.forEach(this::run);
        authors.forEach(a -> flush(a, false));
    }

    private void run(Act act) {
        switch (act) {
            case Act.Claim(int a, int key, int body) -> claim(authors.get(a), key, body);
            case Act.End(int a, boolean good) -> end(authors.get(a), good);
            case Act.GiveBack(int a) -> giveBack(authors.get(a));
            case Act.Flush(int a, boolean twice) -> flush(authors.get(a), twice);
            case Act.Carry(int a) -> {
                fold.oldest(KEYS, Long.MAX_VALUE, 0).forEach(authors.get(a).queue::add);
            }
        }
    }

    private static void claim(Author author, int key, int body) {
        if (!author.open.containsKey(key)) {
            ClaimId claim = new ClaimId(author.name, ++author.claims);
            author.open.put(key, claim);
            author.queue.add(LedgerEntry.Claimed.of(key(key), body(body), claim.number(), key));
        }
    }

    /** Only a claim that has won may end; an author knows that from the log. */
    private void end(Author author, boolean good) {
        Outcome outcome = good ? Outcome.DONE : Outcome.FAILED;
        for (int key : Set.copyOf(author.open.keySet())) {
            Optional<CallState> state = fold.state(Fingerprint.of(key(key)));
            if (state.isPresent() && state.get().claim().equals(author.open.get(key))) {
                author.queue.add(
                        new LedgerEntry.Settled(
                                Fingerprint.of(key(key)),
                                state.get().body(),
                                author.open.remove(key),
                                state.get().claimedMillis(),
                                outcome,
                                Bytes.EMPTY));
            }
        }
    }

    private static void giveBack(Author author) {
        author.open.forEach(
                (key, claim) ->
                        author.queue.add(
                                new LedgerEntry.Released(Fingerprint.of(key(key)), claim)));
        author.open.clear();
    }

    private void flush(Author author, boolean twice) {
        if (author.queue.isEmpty()) {
            return;
        }
        Batch batch =
                new Batch(
                        author.name,
                        ++author.sequence,
                        stream.size(),
                        stream.size() + 1,
                        Optional.empty(),
                        author.queue);
        author.queue.clear();
        for (int copy = 0; copy < (twice ? 2 : 1); copy++) {
            stream.add(batch);
            fold.apply(stream.size(), BatchCodec.decode(BatchCodec.encode(batch)).orElseThrow());
        }
        batch.entries().forEach(e -> naive(batch.author(), e));
    }

    private void naive(String author, LedgerEntry entry) {
        switch (entry) {
            case LedgerEntry.Claimed claimed ->
                    naive.claim(
                            new ClaimId(author, claimed.number()),
                            (int) claimed.wallMillis(),
                            claimed.body().equals(body(0)) ? 0 : 1);
            case LedgerEntry.Settled settled ->
                    naive.end(settled.claim(), key(settled.call()), settled.outcome());
            case LedgerEntry.Released released ->
                    naive.giveBack(released.claim(), key(released.call()));
            case LedgerEntry.Carried carried -> {
                // says nothing new
            }
        }
    }

    private static int key(Fingerprint call) {
        for (int key = 0; key < KEYS; key++) {
            if (Fingerprint.of(key(key)).equals(call)) {
                return key;
            }
        }
        throw new AssertionError("no such key");
    }

    private static CallKey key(int key) {
        return new CallKey(new AccountId("ana"), new ClassName("booking"), "key-" + key);
    }

    private static Fingerprint body(int body) {
        return Fingerprint.of(Bytes.utf8("body-" + body));
    }

    private static Map<Integer, Seen> seen(LedgerFold fold) {
        Map<Integer, Seen> seen = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            int name = key;
            fold.state(Fingerprint.of(key(key)))
                    .ifPresent(s -> seen.put(name, new Seen(bodyOf(s), outcome(s))));
        }
        return seen;
    }

    private static int bodyOf(CallState state) {
        return state.body().equals(body(0)) ? 0 : 1;
    }

    private static Optional<Outcome> outcome(CallState state) {
        return state.progress() instanceof Progress.Ended(var outcome, var answer)
                ? Optional.of(outcome)
                : Optional.empty();
    }

    @Provide
    Arbitrary<List<Act>> acts() {
        Arbitrary<Integer> author = Arbitraries.integers().between(0, AUTHORS - 1);
        Arbitrary<Integer> key = Arbitraries.integers().between(0, KEYS - 1);
        Arbitrary<Integer> body = Arbitraries.of(0, 0, 0, 1);
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        Arbitrary<Act> claim =
                author.flatMap(a -> key.flatMap(k -> body.map(b -> new Act.Claim(a, k, b))));
        return Arbitraries.frequencyOf(
                        Tuple.of(8, claim),
                        Tuple.of(2, author.flatMap(a -> flag.map(f -> new Act.End(a, f)))),
                        Tuple.of(2, author.map(Act.GiveBack::new)),
                        Tuple.of(6, author.flatMap(a -> flag.map(f -> new Act.Flush(a, f)))),
                        Tuple.of(2, author.map(Act.Carry::new)))
                .list()
                .ofMaxSize(60);
    }

    @Property(tries = 500, seed = "11")
    void groupsCopiesAndCarriedEntriesChangeNothing(@ForAll("acts") List<Act> acts) {
        run(acts);
        assertThat(seen(fold), is(naive.seen));
    }

    /** A node that starts after a truncation knows the same, once a floor tells it that it may. */
    @Property(tries = 500, seed = "12")
    void aNewcomerKnowsTheSameOnceItsFloorSaysSo(
            @ForAll("acts") List<Act> before, @ForAll("acts") List<Act> after) {
        run(before);
        int start = stream.size() + 1;
        Author keeper = new Author("keeper");
        authors.add(keeper);
        fold.oldest(KEYS, Long.MAX_VALUE, 0).forEach(keeper.queue::add);
        flush(keeper, false);
        after.forEach(this::run);
        authors.forEach(a -> flush(a, false));
        boolean enough = fold.floorOffset() >= start;
        stream.add(
                new Batch(
                        "keeper",
                        99,
                        stream.size(),
                        stream.size() + 1,
                        Optional.of(fold.floor()),
                        List.of()));
        late.restart(start);
        for (int offset = start; offset <= stream.size(); offset++) {
            late.apply(offset, stream.get(offset - 1));
        }
        assertThat(late.complete(), is(enough));
        if (late.complete()) {
            assertThat(seen(late), is(naive.seen));
        }
    }

    @Property(tries = 50, seed = "13")
    void aRestartWithoutAFloorIsNotComplete(@ForAll("acts") List<Act> acts) {
        run(acts);
        late.restart(2);
        for (int offset = 2; offset <= stream.size(); offset++) {
            late.apply(offset, stream.get(offset - 1));
        }
        assertThat(late.complete(), is(false));
    }
}
