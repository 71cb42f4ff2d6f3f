package hyssopturn.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.helper.Check;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.peer.generated.PartitionsHeldMessage;
import hyssopturn.peer.generated.ShareDatagram;
import hyssopturn.peer.generated.SharedStreamName;
import hyssopturn.peer.generated.StoreQuestion;
import hyssopturn.peer.generated.StoreReply;
import hyssopturn.peer.generated.StreamPositionMessage;
import hyssopturn.peer.generated.StreamRecordMessage;
import hyssopturn.peer.generated.StreamStateMessage;
import hyssopturn.port.KeyedLog;
import hyssopturn.share.ShareMessage;
import hyssopturn.share.ShareMessage.HoldersKnown;
import hyssopturn.share.ShareMessage.Holding;
import hyssopturn.share.ShareMessage.Position;
import hyssopturn.share.ShareMessage.Question;
import hyssopturn.share.ShareMessage.Reply;
import hyssopturn.share.ShareMessage.Status;
import hyssopturn.share.ShareMessage.StreamRecord;
import hyssopturn.share.ShareMessage.StreamState;
import hyssopturn.share.SharedStream;

import java.time.Duration;
import java.util.Optional;

/** Wire form of messages about what the store holds. */
final class ShareCodec {
    /** Greatest size of a datagram, in bytes. */
    static final int MAX_BYTES = 1_400;

    private static final int MAX_NAME_LENGTH = 255;
    private static final int MAX_PARTITION = 1_000_000;
    private static final Duration MAX_AGE = Duration.ofDays(1);

    private ShareCodec() {}

    static byte[] encode(ShareMessage message) {
        ShareDatagram.Builder form = ShareDatagram.newBuilder().setId(message.id());
        switch (message) {
            case Question question -> {
                setEra(form, question.era());
                form.setQuestion(question(question));
            }
            case Reply reply -> {
                setEra(form, reply.era());
                form.setReply(reply(reply));
            }
        }
        return form.build().toByteArray();
    }

    private static void setEra(ShareDatagram.Builder form, long era) {
        if (era != ShareMessage.NO_ERA) {
            form.setEra(era);
        }
    }

    private static StoreQuestion question(Question question) {
        StoreQuestion.Builder form =
                StoreQuestion.newBuilder()
                        .setHolders(question.holders())
                        .setHoldersNeeded(question.holdersNeeded())
                        .addAllWatched(question.watched());
        question.positions()
                .forEach(
                        p ->
                                form.addPositions(
                                        StreamPositionMessage.newBuilder()
                                                .setStream(name(p.stream()))
                                                .setNext(p.next())));
        return form.build();
    }

    private static StoreReply reply(Reply reply) {
        StoreReply.Builder form =
                StoreReply.newBuilder()
                        .setSequence(reply.sequence())
                        .setPart(reply.part())
                        .setParts(reply.parts());
        reply.states().forEach(s -> form.addStates(state(s)));
        reply.records().forEach(r -> form.addRecords(streamRecord(r)));
        reply.holdersKnown()
                .ifPresent(
                        known ->
                                form.setHolders(known.fingerprint())
                                        .setHoldersAgeNanos(nanos(known.age())));
        reply.holders()
                .forEach(
                        h ->
                                form.addHoldings(
                                        PartitionsHeldMessage.newBuilder()
                                                .setNode(h.node().toString())
                                                .addAllPartitions(h.partitions())));
        return form.build();
    }

    private static StreamStateMessage state(StreamState state) {
        return StreamStateMessage.newBuilder()
                .setStream(name(state.stream()))
                .setStatus(
                        switch (state.status()) {
                            case COMPLETE -> StreamStateMessage.Status.COMPLETE;
                            case NOT_KEPT -> StreamStateMessage.Status.NOT_KEPT;
                            case UNREADABLE -> StreamStateMessage.Status.UNREADABLE;
                        })
                .setFrom(state.from())
                .setNext(state.next())
                .setAgeNanos(nanos(state.age()))
                .build();
    }

    private static StreamRecordMessage streamRecord(StreamRecord told) {
        KeyedLog.Entry entry = told.entry();
        StreamRecordMessage.Builder form =
                StreamRecordMessage.newBuilder()
                        .setStream(name(told.stream()))
                        .setKey(entry.key())
                        .setOffset(entry.offset());
        entry.value().ifPresent(v -> form.setValue(ByteString.copyFrom(v.toArray())));
        return form.build();
    }

    /** An age beyond the greatest one is as useless as the greatest one. */
    private static long nanos(Duration age) {
        return Math.clamp(age.toNanos(), 0, MAX_AGE.toNanos());
    }

    private static SharedStreamName name(SharedStream stream) {
        return switch (stream) {
            case CONFIGURATION -> SharedStreamName.CONFIGURATION;
            case ENDPOINTS -> SharedStreamName.ENDPOINTS;
            case FAULTS -> SharedStreamName.FAULTS;
        };
    }

    /**
     * Decodes a message.
     *
     * @throws InvalidArgumentException if it is malformed
     */
    static ShareMessage decode(byte[] bytes) {
        Check.that(bytes.length <= MAX_BYTES, "message about the store is too long");
        try {
            return decode(ShareDatagram.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidArgumentException("message about the store: " + e.getMessage());
        }
    }

    private static ShareMessage decode(ShareDatagram form) {
        long era = form.hasEra() ? offset(form.getEra(), "era") : ShareMessage.NO_ERA;
        return switch (form.getContentCase()) {
            case QUESTION -> question(form.getId(), era, form.getQuestion());
            case REPLY -> reply(form.getId(), era, form.getReply());
            case CONTENT_NOT_SET -> throw new InvalidArgumentException("unknown kind of message");
        };
    }

    private static Question question(long id, long era, StoreQuestion form) {
        return new Question(
                id,
                era,
                form.getPositionsList().stream()
                        .filter(p -> stream(p.getStream()).isPresent())
                        .map(
                                p ->
                                        new Position(
                                                stream(p.getStream()).orElseThrow(),
                                                offset(p.getNext(), "offset")))
                        .toList(),
                form.getHolders(),
                form.getHoldersNeeded(),
                form.getWatchedList().stream().map(ShareCodec::key).toList());
    }

    private static Reply reply(long id, long era, StoreReply form) {
        Optional<HoldersKnown> known =
                form.hasHolders()
                        ? Optional.of(
                                new HoldersKnown(form.getHolders(), age(form.getHoldersAgeNanos())))
                        : Optional.empty();
        return new Reply(
                id,
                form.getSequence(),
                form.getPart(),
                form.getParts(),
                era,
                form.getStatesList().stream()
                        .filter(s -> stream(s.getStream()).isPresent())
                        .map(ShareCodec::state)
                        .toList(),
                form.getRecordsList().stream()
                        .filter(r -> stream(r.getStream()).isPresent())
                        .map(ShareCodec::streamRecord)
                        .toList(),
                known,
                form.getHoldingsList().stream().map(ShareCodec::holding).toList());
    }

    private static StreamState state(StreamStateMessage form) {
        Status status =
                switch (form.getStatus()) {
                    case COMPLETE -> Status.COMPLETE;
                    case NOT_KEPT -> Status.NOT_KEPT;
                    case UNREADABLE, UNRECOGNIZED -> Status.UNREADABLE;
                };
        return new StreamState(
                stream(form.getStream()).orElseThrow(),
                status,
                offset(form.getFrom(), "offset"),
                offset(form.getNext(), "offset"),
                age(form.getAgeNanos()));
    }

    private static StreamRecord streamRecord(StreamRecordMessage form) {
        Optional<Bytes> value =
                form.hasValue()
                        ? Optional.of(Bytes.wrap(form.getValue().toByteArray()))
                        : Optional.empty();
        return new StreamRecord(
                stream(form.getStream()).orElseThrow(),
                new KeyedLog.Entry(key(form.getKey()), value, offset(form.getOffset(), "offset")));
    }

    private static Holding holding(PartitionsHeldMessage form) {
        form.getPartitionsList().forEach(p -> Check.inRange(p, 0, MAX_PARTITION, "partition"));
        return new Holding(Address.parse(form.getNode()), form.getPartitionsList());
    }

    /** Returns the stream of a name, empty if only later builds know it. */
    private static Optional<SharedStream> stream(SharedStreamName name) {
        return switch (name) {
            case CONFIGURATION -> Optional.of(SharedStream.CONFIGURATION);
            case ENDPOINTS -> Optional.of(SharedStream.ENDPOINTS);
            case FAULTS -> Optional.of(SharedStream.FAULTS);
            case UNKNOWN_STREAM, UNRECOGNIZED -> Optional.empty();
        };
    }

    private static String key(String key) {
        Check.notBlank(key, "key");
        Check.that(key.length() <= MAX_NAME_LENGTH, "key is too long");
        return key;
    }

    private static long offset(long offset, String name) {
        return Check.inRange(offset, 0, Long.MAX_VALUE, name);
    }

    private static Duration age(long nanos) {
        return Duration.ofNanos(Check.inRange(nanos, 0, MAX_AGE.toNanos(), "age"));
    }
}
