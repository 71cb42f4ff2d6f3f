package hyssopturn.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.member.Fact;
import hyssopturn.member.FactEntry;
import hyssopturn.member.Message;
import hyssopturn.member.MessageCodec;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.peer.generated.ConfigChunkMessage;
import hyssopturn.peer.generated.ConfigRequestMessage;
import hyssopturn.peer.generated.DeltaMessage;
import hyssopturn.peer.generated.MemberMessage;
import hyssopturn.peer.generated.ProbeRequestMessage;
import hyssopturn.peer.generated.ProbeResultMessage;
import hyssopturn.peer.generated.SectionMessage;
import hyssopturn.peer.generated.SummaryMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Wire form of messages on membership, as protobuf. */
public final class MemberCodec implements MessageCodec {
    private static final Fact.Priority[] PRIORITIES = Fact.Priority.values();

    /** Creates the codec. */
    public MemberCodec() {}

    @Override
    public FactEntry toEntry(Fact fact) {
        return FactCodec.entry(fact);
    }

    @Override
    public Bytes encode(Message message) {
        MemberMessage.Builder builder = MemberMessage.newBuilder();
        switch (message) {
            case Message.Delta m -> builder.setDelta(delta(m));
            case Message.Summary m ->
                    builder.setSummary(
                            SummaryMessage.newBuilder()
                                    .setIncarnation(m.incarnation())
                                    .setReply(m.wantsReply())
                                    .addAllBuckets(m.buckets()));
            case Message.ProbeRequest m ->
                    builder.setProbeRequest(
                            ProbeRequestMessage.newBuilder()
                                    .setNonce(m.nonce())
                                    .setSubject(m.subject().value())
                                    .setHeld(held(m.liveness())));
            case Message.ProbeResult m ->
                    builder.setProbeResult(
                            ProbeResultMessage.newBuilder()
                                    .setNonce(m.nonce())
                                    .setSubject(m.subject().value())
                                    .setAlive(m.alive())
                                    .setHeld(held(m.liveness())));
            case Message.ConfigRequest m ->
                    builder.setConfigRequest(
                            ConfigRequestMessage.newBuilder()
                                    .setVersion(m.version())
                                    .setOffset(m.offset()));
            case Message.ConfigChunk m ->
                    builder.setConfigChunk(
                            ConfigChunkMessage.newBuilder()
                                    .setVersion(m.version())
                                    .setSize(m.documentBytes())
                                    .setOffset(m.offset())
                                    .setData(bytes(m.data())));
        }
        return Bytes.wrap(builder.build().toByteArray());
    }

    private static DeltaMessage delta(Message.Delta m) {
        DeltaMessage.Builder delta =
                DeltaMessage.newBuilder()
                        .setIncarnation(m.incarnation())
                        .setSession(m.session())
                        .setSerial(m.serial())
                        .setReply(m.wantsReply())
                        .setConfig(m.configVersion())
                        .setConfirmed(m.confirmedIncarnation())
                        .addAllPositions(m.confirmedPositions());
        for (Message.Section section : m.sections()) {
            SectionMessage.Builder builder =
                    SectionMessage.newBuilder()
                            .setPriority(section.priority().number())
                            .setFrom(section.from())
                            .setTo(section.to());
            section.entries().forEach(e -> builder.addFacts(bytes(e.encoded())));
            delta.addSections(builder);
        }
        return delta.build();
    }

    private static ByteString held(Optional<FactEntry> entry) {
        return entry.map(e -> bytes(e.encoded())).orElse(ByteString.EMPTY);
    }

    private static ByteString bytes(Bytes bytes) {
        return UnsafeByteOperations.unsafeWrap(bytes.toArray());
    }

    @Override
    public Optional<Message> decode(Bytes bytes) {
        try {
            return decode(MemberMessage.parseFrom(bytes.toArray()));
        } catch (InvalidProtocolBufferException | InvalidArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<Message> decode(MemberMessage message) {
        return switch (message.getMessageCase()) {
            case DELTA -> Optional.of(delta(message.getDelta()));
            case SUMMARY -> {
                SummaryMessage m = message.getSummary();
                yield Optional.of(
                        new Message.Summary(m.getIncarnation(), m.getReply(), m.getBucketsList()));
            }
            case PROBE_REQUEST -> {
                ProbeRequestMessage m = message.getProbeRequest();
                yield Optional.of(
                        new Message.ProbeRequest(
                                m.getNonce(),
                                new InstanceId(m.getSubject()),
                                FactCodec.decode(m.getHeld())));
            }
            case PROBE_RESULT -> {
                ProbeResultMessage m = message.getProbeResult();
                yield Optional.of(
                        new Message.ProbeResult(
                                m.getNonce(),
                                new InstanceId(m.getSubject()),
                                m.getAlive(),
                                FactCodec.decode(m.getHeld())));
            }
            case CONFIG_REQUEST -> {
                ConfigRequestMessage m = message.getConfigRequest();
                yield Optional.of(new Message.ConfigRequest(m.getVersion(), m.getOffset()));
            }
            case CONFIG_CHUNK -> {
                ConfigChunkMessage m = message.getConfigChunk();
                yield Optional.of(
                        new Message.ConfigChunk(
                                m.getVersion(),
                                m.getSize(),
                                m.getOffset(),
                                Bytes.wrap(m.getData().toByteArray())));
            }
            case MESSAGE_NOT_SET -> Optional.empty();
        };
    }

    private static Message.Delta delta(DeltaMessage m) {
        List<Message.Section> sections = new ArrayList<>();
        for (SectionMessage section : m.getSectionsList()) {
            if (section.getPriority() < 0 || section.getPriority() >= PRIORITIES.length) {
                continue;
            }
            List<FactEntry> entries =
                    section.getFactsList().stream()
                            .map(FactCodec::decode)
                            .flatMap(Optional::stream)
                            .toList();
            sections.add(
                    new Message.Section(
                            PRIORITIES[section.getPriority()],
                            section.getFrom(),
                            section.getTo(),
                            entries));
        }
        return new Message.Delta(
                m.getIncarnation(),
                m.getSession(),
                m.getSerial(),
                m.getReply(),
                m.getConfig(),
                m.getConfirmed(),
                m.getPositionsList(),
                sections);
    }
}
