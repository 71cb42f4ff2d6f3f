package hyssopturn.load;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What this node asks about one scope, and the answers.
 *
 * <p>Two nodes add up every scope. The first is asked often and the second seldom; while the first
 * does not answer, the second is asked often.
 */
final class ScopeQuery {
    /** Time for which a sum is used; then nothing is known. */
    static final Duration VALIDITY = Duration.ofMillis(1_500);

    /** Interval of reports to the node that stands in, short beside {@link LoadSums#EXPIRY}. */
    static final Duration STANDBY_INTERVAL = Duration.ofSeconds(1);

    /** Time after which a question without an answer is repeated. */
    private static final Duration REPEAT = Duration.ofMillis(250);

    /** Number of questions in a row without an answer that show more than lost messages. */
    private static final int MAX_UNANSWERED = 2;

    /** Number of questions whose answers are awaited. */
    private static final int MAX_OPEN = 8;

    /** Lag behind the other sum up to which the preferred sum is used. */
    private static final Duration MAX_LAG = Duration.ofMillis(500);

    /** Part of the nodes that the other sum holds which the preferred sum must hold. */
    private static final double MIN_PART_OF_OTHER = 0.9;

    private final Target first = new Target();
    private final Target second = new Target();

    private record Question(long sequence, long sentNanos, EngineTokens own) {}

    /**
     * A sum that was received.
     *
     * @param message the message
     * @param own this node's own load that is included
     * @param sentNanos time at which it was asked for, so it is no older than this and its age
     */
    record Known(LoadMessage.Sum message, EngineTokens own, long sentNanos) {
        double othersTokens(InstanceId engine) {
            return Math.max(0, message.load().engines().tokens(engine) - own.tokens(engine));
        }

        boolean valid(long nowNanos) {
            return nowNanos - sentNanos < VALIDITY.toNanos();
        }
    }

    /** One of the two nodes that are asked. */
    static final class Target {
        private final Deque<Question> open = new ArrayDeque<>();
        private Optional<Address> address = Optional.empty();
        private FragmentBuffer fragments = new FragmentBuffer();
        private Optional<Known> known = Optional.empty();
        private EngineTokens namedEngines = EngineTokens.NONE;
        private int names;
        private long sentNanos;
        private boolean asked;
        private int unanswered;

        Optional<Address> address() {
            return address;
        }

        private void direct(Optional<Address> current) {
            if (!current.equals(address)) {
                address = current;
                open.clear();
                fragments = new FragmentBuffer();
                asked = false;
                names = 0;
                unanswered = 0;
            }
        }

        private boolean due(Duration interval, long nowNanos) {
            Duration wait = unanswered > 0 && REPEAT.compareTo(interval) < 0 ? REPEAT : interval;
            return address.isPresent() && (!asked || nowNanos - sentNanos >= wait.toNanos());
        }

        void sent(long sequence, EngineTokens own, long nowNanos) {
            open.addLast(new Question(sequence, nowNanos, own));
            if (open.size() > MAX_OPEN) {
                open.removeFirst();
            }
            sentNanos = nowNanos;
            asked = true;
            unanswered++;
        }

        private Known validSum(long nowNanos) {
            return known.filter(k -> k.valid(nowNanos)).orElse(null);
        }

        private Optional<EngineTokens> named(LoadMessage.Sum sum) {
            EngineTokens engines = sum.load().engines();
            return engines.named() || sum.names() == names
                    ? engines.namedAs(namedEngines)
                    : Optional.empty();
        }

        /** Returns a digest of the engines of the last sum, 0 if none is known. */
        int names() {
            return names;
        }

        private boolean silent() {
            return address.isEmpty() || unanswered > MAX_UNANSWERED;
        }

        private Optional<Question> question(long sequence) {
            return open.stream().filter(q -> q.sequence == sequence).findFirst();
        }

        /** Takes an answer in; returns false if it answers no open question, or an old one. */
        private boolean receive(LoadMessage.Sum fragment) {
            Optional<Question> question = question(fragment.sequence());
            if (question.isEmpty()
                    || known.filter(k -> k.sentNanos >= question.get().sentNanos).isPresent()) {
                return false;
            }
            unanswered = 0;
            fragments
                    .add(fragment.sequence(), fragment)
                    .ifPresent(whole -> update((LoadMessage.Sum) whole, question.get()));
            return true;
        }

        private void update(LoadMessage.Sum received, Question question) {
            Optional<EngineTokens> engines = named(received);
            if (engines.isEmpty()) {
                names = 0;
                return;
            }
            names = received.names();
            namedEngines = engines.get();
            LoadMessage.Sum whole =
                    received.with(received.load().with(namedEngines), received.fragment());
            Optional<EngineTokens> own =
                    whole.included() == 0
                            ? Optional.of(EngineTokens.NONE)
                            : question(whole.included()).map(Question::own);
            own.ifPresent(o -> known = Optional.of(new Known(whole, o, question.sentNanos)));
            open.removeIf(q -> q.sequence < whole.included());
        }
    }

    /** Sets the nodes to ask. */
    void direct(List<Address> nodes) {
        first.direct(nodes.stream().findFirst());
        second.direct(nodes.stream().skip(1).findFirst());
    }

    /** Returns the nodes that are to be asked now. */
    List<Target> due(Duration interval, long nowNanos) {
        Duration standby = interval.compareTo(STANDBY_INTERVAL) > 0 ? interval : STANDBY_INTERVAL;
        boolean fallback = first.silent();
        return Stream.of(
                        first.due(fallback ? standby : interval, nowNanos) ? first : null,
                        second.due(fallback ? interval : standby, nowNanos) ? second : null)
                .filter(t -> t != null)
                .toList();
    }

    /** Returns whether a node stands in for the holder of the scope's partition. */
    boolean standsIn(Target target) {
        return target.equals(second);
    }

    /** Takes an answer in; returns false if it was not expected. */
    boolean receive(Address from, LoadMessage.Sum sum) {
        return Stream.of(first, second)
                .filter(t -> t.address.equals(Optional.of(from)))
                .findFirst()
                .filter(t -> t.receive(sum))
                .isPresent();
    }

    /**
     * Returns the best valid sum: of the first node, unless the second one's is complete and the
     * first one's is not or is much older.
     */
    Optional<Known> best(long nowNanos) {
        Known preferred = first.validSum(nowNanos);
        Known other = second.validSum(nowNanos);
        if (preferred == null || other == null) {
            return Optional.ofNullable(preferred == null ? other : preferred);
        }
        boolean newer = other.sentNanos - preferred.sentNanos > MAX_LAG.toNanos();
        boolean incomplete = nodes(preferred) < MIN_PART_OF_OTHER * nodes(other);
        boolean complete = nodes(other) >= MIN_PART_OF_OTHER * nodes(preferred);
        return Optional.of(incomplete || (newer && complete) ? other : preferred);
    }

    private static int nodes(Known known) {
        return known.message.nodes();
    }
}
