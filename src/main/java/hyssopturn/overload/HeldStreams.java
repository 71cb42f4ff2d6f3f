package hyssopturn.overload;

import hyssopturn.catalog.Priorities;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Streams that wait for room, by priority; within a priority accounts share by start-time fair
 * queueing, with the tokens of a stream as its cost.
 */
final class HeldStreams {
    private final List<Level> levels =
            IntStream.rangeClosed(Priorities.MOST_URGENT, Priorities.LEAST_URGENT)
                    .mapToObj(i -> new Level())
                    .toList();
    private int size;
    private long added;

    /** The streams of one priority. */
    private static final class Level {
        private final TreeSet<Ticket> byTag =
                new TreeSet<>(
                        Comparator.<Ticket>comparingDouble(Ticket::startTag)
                                .thenComparingLong(Ticket::arrivedNanos)
                                .thenComparingLong(Ticket::number));
        private final Map<String, Double> finishTags = new HashMap<>();
        private final Map<String, Double> heldTokens = new HashMap<>();
        private double virtualTime;
        private double tokens;

        void add(Ticket ticket) {
            double tag =
                    Math.max(virtualTime, finishTags.getOrDefault(ticket.account(), virtualTime));
            ticket.startTag(tag);
            finishTags.put(ticket.account(), tag + ticket.tokens());
            byTag.add(ticket);
            tokens += ticket.tokens();
            heldTokens.merge(ticket.account(), ticket.tokens(), Double::sum);
        }

        boolean remove(Ticket ticket) {
            if (!byTag.remove(ticket)) {
                return false;
            }
            tokens -= ticket.tokens();
            heldTokens.computeIfPresent(
                    ticket.account(),
                    (a, held) -> held - ticket.tokens() < 1 ? null : held - ticket.tokens());
            return true;
        }

        /** Advances the virtual time to a stream that starts, and forgets idle accounts. */
        void serve(Ticket ticket) {
            virtualTime = Math.max(virtualTime, ticket.startTag());
            finishTags.values().removeIf(tag -> tag <= virtualTime);
        }

        /** Takes back the cost of a stream that was not served, for the account's next ones. */
        void refund(Ticket ticket) {
            finishTags.computeIfPresent(ticket.account(), (a, tag) -> tag - ticket.tokens());
        }

        /** Estimates the tokens before a stream that was added last of its account. */
        double tokensAhead(Ticket ticket) {
            double self = byTag.contains(ticket) ? ticket.tokens() : 0;
            double own = heldTokens.getOrDefault(ticket.account(), 0.0) - self;
            return Math.min(tokens - self, Math.max(0, own) * Math.max(1, heldTokens.size()));
        }
    }

    private Level level(Ticket ticket) {
        return levels.get(ticket.priority());
    }

    void add(Ticket ticket) {
        ticket.number(added++);
        level(ticket).add(ticket);
        size++;
    }

    /** Removes a stream that starts; does nothing if it was not held. */
    void serve(Ticket ticket) {
        if (level(ticket).remove(ticket)) {
            size--;
            level(ticket).serve(ticket);
        }
    }

    /** Removes a stream that will not start; does nothing if it was not held. */
    void drop(Ticket ticket) {
        if (level(ticket).remove(ticket)) {
            size--;
            level(ticket).refund(ticket);
        }
    }

    int size() {
        return size;
    }

    boolean holdsOther(Ticket ticket) {
        return size > 1 || (size == 1 && !level(ticket).byTag.contains(ticket));
    }

    /** Returns the first stream of a priority, of those that may be tried now. */
    Optional<Ticket> head(int priority, long nowNanos) {
        return levels.get(priority).byTag.stream().filter(t -> t.mayTry(nowNanos)).findFirst();
    }

    /** Estimates the tokens of held streams that are started before a new one. */
    double tokensAhead(Ticket ticket) {
        double urgent =
                levels.subList(0, ticket.priority()).stream().mapToDouble(l -> l.tokens).sum();
        return urgent + level(ticket).tokensAhead(ticket);
    }

    List<Ticket> all() {
        List<Ticket> all = new ArrayList<>();
        levels.forEach(level -> all.addAll(level.byTag));
        return all;
    }
}
