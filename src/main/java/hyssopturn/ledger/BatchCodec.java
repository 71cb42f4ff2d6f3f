package hyssopturn.ledger;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.ledger.generated.LedgerProto.AuthorMessage;
import hyssopturn.ledger.generated.LedgerProto.BatchMessage;
import hyssopturn.ledger.generated.LedgerProto.CarriedMessage;
import hyssopturn.ledger.generated.LedgerProto.ClaimIdMessage;
import hyssopturn.ledger.generated.LedgerProto.ClaimMessage;
import hyssopturn.ledger.generated.LedgerProto.EntryMessage;
import hyssopturn.ledger.generated.LedgerProto.FloorMessage;
import hyssopturn.ledger.generated.LedgerProto.HashMessage;
import hyssopturn.ledger.generated.LedgerProto.KeyMessage;
import hyssopturn.ledger.generated.LedgerProto.ReleasedMessage;
import hyssopturn.ledger.generated.LedgerProto.SettledMessage;
import hyssopturn.model.AccountId;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Outcome;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Bytes of the ledger's records. */
final class BatchCodec {
    private static final int OPEN = 0;
    private static final int DONE = 1;
    private static final int FAILED = 2;
    private static final int DOUBTFUL = 3;

    private BatchCodec() {}

    static Bytes encode(Batch batch) {
        BatchMessage.Builder message =
                BatchMessage.newBuilder()
                        .setAuthor(batch.author())
                        .setSequence(batch.sequence())
                        .setTimeMillis(batch.timeMillis())
                        .setReadTo(batch.readTo());
        batch.floor().ifPresent(floor -> message.setFloor(floor(floor)));
        for (LedgerEntry entry : batch.entries()) {
            message.addEntries(entry(entry, batch.author()));
        }
        return Bytes.wrap(message.build().toByteArray());
    }

    private static FloorMessage floor(Batch.Floor floor) {
        FloorMessage.Builder message =
                FloorMessage.newBuilder().setHead(floor.head()).setFloor(floor.floor());
        floor.authors()
                .forEach(
                        (author, sequence) ->
                                message.addAuthors(
                                        AuthorMessage.newBuilder()
                                                .setAuthor(author)
                                                .setSequence(sequence)));
        return message.build();
    }

    private static EntryMessage entry(LedgerEntry entry, String author) {
        EntryMessage.Builder message = EntryMessage.newBuilder();
        switch (entry) {
            case LedgerEntry.Claimed claimed ->
                    message.setClaim(
                            ClaimMessage.newBuilder()
                                    .setBody(hash(claimed.body()))
                                    .setNumber(claimed.number())
                                    .setKey(key(claimed.key(), claimed.wallMillis())));
            case LedgerEntry.Settled settled ->
                    message.setSettled(
                            SettledMessage.newBuilder()
                                    .setCall(hash(settled.call()))
                                    .setBody(hash(settled.body()))
                                    .setClaim(claim(settled.claim(), author))
                                    .setClaimedMillis(settled.claimedMillis())
                                    .setOutcome(code(settled.outcome()))
                                    .setAnswer(bytes(settled.answer())));
            case LedgerEntry.Released released ->
                    message.setReleased(
                            ReleasedMessage.newBuilder()
                                    .setCall(hash(released.call()))
                                    .setClaim(claim(released.claim(), author)));
            case LedgerEntry.Carried carried -> message.setCarried(carried(carried, author));
        }
        return message.build();
    }

    private static CarriedMessage carried(LedgerEntry.Carried carried, String author) {
        CarriedMessage.Builder message =
                CarriedMessage.newBuilder()
                        .setCall(hash(carried.call()))
                        .setBody(hash(carried.body()))
                        .setClaim(claim(carried.claim(), author))
                        .setClaimedMillis(carried.claimedMillis());
        switch (carried.progress()) {
            case Progress.Open open ->
                    message.setOutcome(open.doubtful() ? DOUBTFUL : OPEN)
                            .setKey(key(open.key(), open.wallMillis()));
            case Progress.Ended(Outcome outcome, Bytes answer) ->
                    message.setOutcome(code(outcome)).setAnswer(bytes(answer));
        }
        return message.build();
    }

    private static HashMessage hash(Fingerprint value) {
        return HashMessage.newBuilder().setHigh(value.high()).setLow(value.low()).build();
    }

    private static ClaimIdMessage claim(ClaimId claim, String author) {
        ClaimIdMessage.Builder message = ClaimIdMessage.newBuilder().setNumber(claim.number());
        if (!claim.author().equals(author)) {
            message.setAuthor(claim.author());
        }
        return message.build();
    }

    private static KeyMessage key(CallKey key, long wallMillis) {
        return KeyMessage.newBuilder()
                .setAccount(key.account().value())
                .setWorkClass(key.workClass().value())
                .setKey(key.key())
                .setWallMillis(wallMillis)
                .build();
    }

    private static ByteString bytes(Bytes value) {
        return ByteString.copyFrom(value.toArray());
    }

    private static int code(Outcome outcome) {
        return switch (outcome) {
            case DONE -> DONE;
            case FAILED -> FAILED;
            case NOT_RUN, UNKNOWN ->
                    throw new InvalidArgumentException(outcome + " is no recorded outcome");
        };
    }

    /** Reads a record; empty if it is malformed, so that one bad record stops nobody. */
    static Optional<Batch> decode(Bytes data) {
        try {
            BatchMessage message = BatchMessage.parseFrom(data.toArray());
            if (message.getAuthor().isEmpty() || message.getSequence() <= 0) {
                return Optional.empty();
            }
            // one author string a record, shared by all its entries
            String author = message.getAuthor();
            List<LedgerEntry> entries = new ArrayList<>(message.getEntriesCount());
            for (EntryMessage entry : message.getEntriesList()) {
                entry(entry, author).ifPresent(entries::add);
            }
            return Optional.of(
                    new Batch(
                            author,
                            message.getSequence(),
                            message.getTimeMillis(),
                            message.getReadTo(),
                            message.hasFloor()
                                    ? Optional.of(floor(message.getFloor()))
                                    : Optional.empty(),
                            entries));
        } catch (InvalidProtocolBufferException | InvalidArgumentException e) {
            return Optional.empty();
        }
    }

    private static Batch.Floor floor(FloorMessage message) {
        Map<String, Long> authors = new HashMap<>();
        message.getAuthorsList().forEach(a -> authors.put(a.getAuthor(), a.getSequence()));
        return new Batch.Floor(message.getHead(), message.getFloor(), authors);
    }

    private static Optional<LedgerEntry> entry(EntryMessage message, String author) {
        return switch (message.getKindCase()) {
            case CLAIM ->
                    Optional.of(
                            LedgerEntry.Claimed.of(
                                    key(message.getClaim().getKey()),
                                    hash(message.getClaim().getBody()),
                                    message.getClaim().getNumber(),
                                    message.getClaim().getKey().getWallMillis()));
            case SETTLED -> Optional.of(settled(message.getSettled(), author));
            case RELEASED ->
                    Optional.of(
                            new LedgerEntry.Released(
                                    hash(message.getReleased().getCall()),
                                    claim(message.getReleased().getClaim(), author)));
            case CARRIED -> Optional.of(carried(message.getCarried(), author));
            case KIND_NOT_SET -> Optional.empty();
        };
    }

    private static LedgerEntry settled(SettledMessage message, String author) {
        return new LedgerEntry.Settled(
                hash(message.getCall()),
                hash(message.getBody()),
                claim(message.getClaim(), author),
                message.getClaimedMillis(),
                outcome(message.getOutcome()),
                Bytes.wrap(message.getAnswer().toByteArray()));
    }

    private static LedgerEntry carried(CarriedMessage message, String author) {
        Progress progress =
                switch (message.getOutcome()) {
                    case OPEN, DOUBTFUL ->
                            new Progress.Open(
                                    key(message.getKey()),
                                    message.getKey().getWallMillis(),
                                    message.getOutcome() == DOUBTFUL);
                    default ->
                            new Progress.Ended(
                                    outcome(message.getOutcome()),
                                    Bytes.wrap(message.getAnswer().toByteArray()));
                };
        return new LedgerEntry.Carried(
                hash(message.getCall()),
                hash(message.getBody()),
                claim(message.getClaim(), author),
                message.getClaimedMillis(),
                progress);
    }

    private static Outcome outcome(int code) {
        return switch (code) {
            case DONE -> Outcome.DONE;
            case FAILED -> Outcome.FAILED;
            default -> throw new InvalidArgumentException("no outcome has code " + code);
        };
    }

    private static Fingerprint hash(HashMessage message) {
        return new Fingerprint(message.getHigh(), message.getLow());
    }

    private static ClaimId claim(ClaimIdMessage message, String author) {
        return new ClaimId(
                message.getAuthor().isEmpty() ? author : message.getAuthor(), message.getNumber());
    }

    private static CallKey key(KeyMessage message) {
        return new CallKey(
                new AccountId(message.getAccount()),
                new ClassName(message.getWorkClass()),
                message.getKey());
    }
}
