package hyssopturn.share;

import hyssopturn.model.Address;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.share.ShareMessage.HoldersKnown;
import hyssopturn.share.ShareMessage.Holding;
import hyssopturn.share.ShareMessage.Position;
import hyssopturn.share.ShareMessage.Question;
import hyssopturn.share.ShareMessage.Reply;
import hyssopturn.share.ShareMessage.Status;
import hyssopturn.share.ShareMessage.StreamRecord;
import hyssopturn.share.ShareMessage.StreamState;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Asks a hub what has changed, and lets this node read the store itself where the hub does not
 * answer, cannot tell, or tells what is too old. Not thread-safe.
 */
final class HubReader {
    /** Number of questions in a row without a reply that show more than lost messages. */
    static final int MAX_UNANSWERED = 3;

    /** Number of rounds in a row without a useful reply after which the next node is asked. */
    static final int MAX_USELESS = 5;

    /** Greatest number of endpoints that are watched; with more, the node reads itself. */
    static final int MAX_WATCHED = 32;

    /** Greatest size of the names of watched endpoints, in bytes. */
    private static final int MAX_WATCHED_BYTES = 900;

    /** Number of latest questions to which replies are accepted. */
    private static final int MAX_QUESTIONS = 8;

    private final List<SharedFollower> followers;
    private final HolderReads holders;
    private final Supplier<Collection<String>> doubted;
    private final Supplier<OptionalLong> era;
    private final HubChoice choice;
    private final Duration interval;
    private final Clock clock;
    private final RandomGenerator random;
    private final ShareChannel channel;
    private final Map<Long, Long> askedNanos = new LinkedHashMap<>();
    private final ReplyParts.Assembly assembly = new ReplyParts.Assembly();
    private Optional<Address> asked = Optional.empty();
    private Clock.Timer ageCheck = () -> {};
    private int unanswered;
    private int useless;
    private boolean watchesAll = true;

    HubReader(
            List<SharedFollower> followers,
            HolderReads holders,
            Supplier<Collection<String>> doubted,
            Supplier<OptionalLong> era,
            HubChoice choice,
            Duration interval,
            Clock clock,
            RandomGenerator random,
            ShareChannel channel) {
        this.followers = followers;
        this.holders = holders;
        this.doubted = doubted;
        this.era = era;
        this.choice = choice;
        this.interval = interval;
        this.clock = clock;
        this.random = random;
        this.channel = channel;
    }

    /** Returns the node that is asked, empty if there is none. */
    Optional<Address> asked() {
        return asked;
    }

    /** Stops asking; this node reads the store itself. */
    void stop() {
        forget(Optional.empty());
        followers.forEach(SharedFollower::resume);
    }

    private void forget(Optional<Address> next) {
        askedNanos.clear();
        unanswered = 0;
        useless = 0;
        asked = next;
    }

    /** Asks the hub, or the next one if it is silent or of no use. */
    void ask() {
        if (unanswered >= MAX_UNANSWERED || useless >= MAX_USELESS) {
            choice.recordSilence();
            stop();
        }
        Optional<Address> hub = choice.hub();
        if (hub.isEmpty()) {
            stop();
            return;
        }
        if (!hub.equals(asked)) {
            forget(hub);
        }
        ask(hub.get());
        checkAges();
    }

    private void ask(Address hub) {
        long id = random.nextLong();
        askedNanos.put(id, clock.nanos());
        if (askedNanos.size() > MAX_QUESTIONS) {
            askedNanos.remove(askedNanos.keySet().iterator().next());
        }
        unanswered++;
        useless++;
        List<Position> positions =
                followers.stream()
                        .filter(SharedFollower::known)
                        .map(f -> new Position(f.stream(), f.next()))
                        .toList();
        channel.send(
                hub,
                new Question(
                        id,
                        ownEra(),
                        positions,
                        Holders.fingerprint(holders.holders()),
                        holders.needed(),
                        watched()));
    }

    /** Chooses the endpoints of which repeated announcements matter. */
    private List<String> watched() {
        List<String> watched = new ArrayList<>(doubted.get());
        int bytes = watched.stream().mapToInt(String::length).sum();
        watchesAll = watched.size() <= MAX_WATCHED && bytes <= MAX_WATCHED_BYTES;
        if (watchesAll) {
            return watched;
        }
        resume(SharedStream.ENDPOINTS);
        return List.of();
    }

    private void resume(SharedStream stream) {
        followers.stream().filter(f -> f.stream() == stream).forEach(SharedFollower::resume);
    }

    private long ownEra() {
        return era.get().orElse(ShareMessage.NO_ERA);
    }

    /** Reads by itself what has become too old, and looks again when the next one will. */
    private void checkAges() {
        ageCheck.cancel();
        Duration next = interval;
        for (SharedFollower follower : followers) {
            Duration left = follower.maxAge().minus(follower.age());
            if (!left.isPositive()) {
                follower.resume();
            } else if (left.compareTo(next) < 0) {
                next = left;
            }
        }
        if (next.compareTo(interval) < 0) {
            ageCheck = clock.after(next, this::checkAges);
        }
    }

    /** Receives a part of a reply. */
    void receive(Address sender, Reply part) {
        if (asked.equals(Optional.of(sender)) && askedNanos.containsKey(part.id())) {
            assembly.add(part).ifPresent(this::apply);
        }
    }

    private void apply(Reply reply) {
        unanswered = 0;
        if (reply.era() != ownEra()) {
            if (reply.era() > ownEra()) {
                // only an answer of the store itself makes this node read everything anew
                followers.forEach(SharedFollower::resume);
            }
            return;
        }
        if (reply.states().stream().allMatch(this::useful)) {
            useless = 0;
        }
        long questionNanos = askedNanos.get(reply.id());
        reply.states().forEach(state -> apply(state, reply.records(), questionNanos));
        reply.holdersKnown().ifPresent(known -> apply(known, reply.holders(), questionNanos));
    }

    /** Returns whether the hub can read a stream, and recently has. */
    private boolean useful(StreamState state) {
        return state.status() != Status.UNREADABLE
                && followers.stream()
                        .filter(f -> f.stream() == state.stream())
                        .allMatch(f -> state.age().compareTo(f.maxAge()) < 0);
    }

    private void apply(StreamState state, List<StreamRecord> records, long questionNanos) {
        for (SharedFollower follower : followers) {
            if (follower.stream() == state.stream()) {
                apply(follower, state, records, questionNanos);
            }
        }
    }

    private void apply(
            SharedFollower follower,
            StreamState state,
            List<StreamRecord> records,
            long questionNanos) {
        switch (state.status()) {
            case COMPLETE -> {
                if (watchesAll || follower.stream() != SharedStream.ENDPOINTS) {
                    List<KeyedLog.Entry> entries =
                            records.stream()
                                    .filter(r -> r.stream() == state.stream())
                                    .map(StreamRecord::entry)
                                    .toList();
                    follower.receive(
                            new KeyedLog.Page(entries, state.next()),
                            state.from(),
                            questionNanos - state.age().toNanos());
                }
            }
            case NOT_KEPT -> follower.readOnce();
            case UNREADABLE -> follower.resume();
        }
    }

    private void apply(HoldersKnown told, List<Holding> rows, long questionNanos) {
        Map<Integer, Address> same = holders.holders();
        Map<Integer, Address> known = rows.isEmpty() ? same : Holders.map(rows);
        if (Holders.fingerprint(known) == told.fingerprint()) {
            holders.receive(known, questionNanos - told.age().toNanos());
        }
    }
}
