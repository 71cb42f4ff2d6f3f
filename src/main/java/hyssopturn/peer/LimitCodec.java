package hyssopturn.peer;

import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.limit.EndpointStart;
import hyssopturn.limit.HeardLimit;
import hyssopturn.limit.LimitMessage;
import hyssopturn.limit.LimitMessage.Verdict;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.peer.generated.HeardLimitMessage;
import hyssopturn.peer.generated.LimitDatagram;
import hyssopturn.peer.generated.LimitDatagram.Kind;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/** Wire form of messages about limits. */
final class LimitCodec {
    private LimitCodec() {}

    static byte[] encode(LimitMessage message) {
        LimitDatagram.Builder form = LimitDatagram.newBuilder();
        switch (message) {
            case LimitMessage.Hello hello -> form.setKind(Kind.HELLO);
            case LimitMessage.Heard heard ->
                    form.setKind(Kind.HEARD).setHeard(heard(heard.start(), heard.heard()));
            case LimitMessage.Ask ask ->
                    form.setKind(Kind.ASK)
                            .setId(ask.id())
                            .setHeard(heard(ask.start(), ask.heard()))
                            .setDeputy(ask.deputy());
            case LimitMessage.Reply reply ->
                    form.setKind(kind(reply.verdict()))
                            .setId(reply.id())
                            .setHeard(heard(reply.start(), reply.heard()))
                            .setWaitNanos(reply.pause().toNanos())
                            .setIssuer(reply.issuer().map(Address::toString).orElse(""));
        }
        return form.build().toByteArray();
    }

    private static HeardLimitMessage heard(EndpointStart start, HeardLimit heard) {
        HeardLimitMessage.Builder form =
                HeardLimitMessage.newBuilder()
                        .setEndpoint(start.id().value())
                        .setIncarnation(start.incarnation())
                        .setAgeNanos(heard.age().toNanos());
        heard.perSecond().ifPresent(form::setPerSecond);
        return form.build();
    }

    private static Kind kind(Verdict verdict) {
        return switch (verdict) {
            case GRANTED -> Kind.GRANTED;
            case NO_ROOM -> Kind.NO_ROOM;
            case NOT_ISSUER -> Kind.NOT_ISSUER;
        };
    }

    /**
     * Decodes a message.
     *
     * @throws InvalidArgumentException if it is malformed
     */
    static LimitMessage decode(byte[] bytes) {
        try {
            return decode(LimitDatagram.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidArgumentException("message about a limit: " + e.getMessage());
        }
    }

    private static LimitMessage decode(LimitDatagram form) {
        if (form.getKind() == Kind.HELLO) {
            return new LimitMessage.Hello();
        }
        HeardLimitMessage about = form.getHeard();
        EndpointStart start =
                new EndpointStart(new InstanceId(about.getEndpoint()), about.getIncarnation());
        HeardLimit heard = new HeardLimit(rate(about), duration(about.getAgeNanos()));
        return switch (form.getKind()) {
            case HEARD -> new LimitMessage.Heard(start, heard);
            case ASK -> new LimitMessage.Ask(form.getId(), start, heard, form.getDeputy());
            case GRANTED -> reply(form, start, heard, Verdict.GRANTED);
            case NO_ROOM -> reply(form, start, heard, Verdict.NO_ROOM);
            case NOT_ISSUER -> reply(form, start, heard, Verdict.NOT_ISSUER);
            case HELLO, UNRECOGNIZED ->
                    throw new InvalidArgumentException("unknown kind of message");
        };
    }

    private static LimitMessage reply(
            LimitDatagram form, EndpointStart start, HeardLimit heard, Verdict verdict) {
        return new LimitMessage.Reply(
                form.getId(),
                start,
                heard,
                verdict,
                duration(form.getWaitNanos()),
                Optional.of(form.getIssuer()).filter(a -> !a.isEmpty()).map(Address::parse));
    }

    private static OptionalDouble rate(HeardLimitMessage form) {
        if (!form.hasPerSecond()) {
            return OptionalDouble.empty();
        }
        double perSecond = form.getPerSecond();
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new InvalidArgumentException("limit of " + perSecond + " requests per second");
        }
        return OptionalDouble.of(perSecond);
    }

    private static Duration duration(long nanos) {
        if (nanos < 0) {
            throw new InvalidArgumentException("negative time");
        }
        return Duration.ofNanos(nanos);
    }
}
