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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/** Answers questions of other nodes, and tells them news before they ask again. Not thread-safe. */
final class Hub {
    /** Time without a question after which a node no longer counts as a reader. */
    static final Duration READER_TIMEOUT = Duration.ofSeconds(3);

    /** Time by which news wait for further ones. */
    private static final Duration NEWS_DELAY = Duration.ofMillis(2);

    private static final int MAX_READERS = 512;

    private final List<SharedFollower> followers;
    private final HolderReads holders;
    private final Supplier<OptionalLong> era;
    private final Clock clock;
    private final ShareChannel channel;
    private final Map<Address, Reader> readers = new HashMap<>();
    private long lastSequence;
    private boolean newsPending;

    private record Reader(Question question, long askedNanos) {}

    Hub(
            List<SharedFollower> followers,
            HolderReads holders,
            Supplier<OptionalLong> era,
            Clock clock,
            ShareChannel channel) {
        this.followers = followers;
        this.holders = holders;
        this.era = era;
        this.clock = clock;
        this.channel = channel;
        followers.forEach(f -> f.ring().whenChanged(this::announceNews));
    }

    /** Returns the number of nodes that asked a short time ago. */
    int readers() {
        long now = clock.nanos();
        readers.values().removeIf(r -> now - r.askedNanos() >= READER_TIMEOUT.toNanos());
        return readers.size();
    }

    /** Returns whether a reader needs recent holders. */
    boolean holdersNeeded() {
        return readers.values().stream().anyMatch(r -> r.question().holdersNeeded());
    }

    /** Answers a question. */
    void receive(Address sender, Question question) {
        if (readers.containsKey(sender) || readers() < MAX_READERS) {
            readers.put(sender, new Reader(question, clock.nanos()));
            answer(sender, question);
        }
    }

    private void announceNews() {
        if (!newsPending) {
            newsPending = true;
            clock.after(NEWS_DELAY, this::sendNews);
        }
    }

    private void sendNews() {
        newsPending = false;
        if (readers() > 0) {
            readers.forEach((address, reader) -> answer(address, reader.question()));
        }
    }

    private void answer(Address sender, Question question) {
        List<StreamState> states = new ArrayList<>();
        List<StreamRecord> records = new ArrayList<>();
        int room = ReplyParts.MAX_RECORD_BYTES;
        for (Position position : question.positions()) {
            List<StreamRecord> news = new ArrayList<>();
            StreamState state = state(position, question.watched(), room, news);
            states.add(state);
            records.addAll(news);
            room -= size(news);
        }
        Reply reply =
                new Reply(
                        question.id(),
                        ++lastSequence,
                        0,
                        1,
                        era.get().orElse(ShareMessage.NO_ERA),
                        states,
                        records,
                        holdersKnown(),
                        holdersFor(question));
        ReplyParts.split(reply).forEach(part -> channel.send(sender, part));
    }

    private StreamState state(
            Position position, List<String> watched, int room, List<StreamRecord> news) {
        Optional<SharedFollower> found =
                followers.stream().filter(f -> f.stream() == position.stream()).findFirst();
        if (found.isEmpty() || !found.get().known() || found.get().failing()) {
            return state(position, Status.UNREADABLE, position.next(), Duration.ZERO);
        }
        SharedFollower follower = found.get();
        Optional<List<KeyedLog.Entry>> missing = follower.ring().since(position.next(), watched);
        missing.ifPresent(m -> m.forEach(e -> news.add(new StreamRecord(position.stream(), e))));
        if (missing.isEmpty() || size(news) > room) {
            news.clear();
            return state(position, Status.NOT_KEPT, position.next(), Duration.ZERO);
        }
        return state(position, Status.COMPLETE, follower.ring().next(), follower.age());
    }

    private static StreamState state(Position position, Status status, long next, Duration age) {
        return new StreamState(position.stream(), status, position.next(), next, age);
    }

    private static int size(List<StreamRecord> records) {
        return records.stream().mapToInt(ReplyParts::size).sum();
    }

    private Optional<HoldersKnown> holdersKnown() {
        if (holders.holders().isEmpty()) {
            return Optional.empty();
        }
        Duration age = Duration.ofNanos(clock.nanos() - holders.readNanos());
        return Optional.of(new HoldersKnown(Holders.fingerprint(holders.holders()), age));
    }

    /** Returns the holders if they differ from those that the asking node knows, and fit. */
    private List<Holding> holdersFor(Question question) {
        if (question.holders() == Holders.fingerprint(holders.holders())) {
            return List.of();
        }
        List<Holding> rows = Holders.rows(holders.holders());
        int size = rows.stream().mapToInt(ReplyParts::size).sum();
        return size <= ReplyParts.MAX_HOLDER_BYTES ? rows : List.of();
    }
}
