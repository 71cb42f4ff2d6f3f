package hyssopturn.peer;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.helper.Check;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.load.EngineTokens;
import hyssopturn.load.LoadMessage;
import hyssopturn.load.LoadScope;
import hyssopturn.load.MeasuredLoad;
import hyssopturn.load.PriorityLoad;
import hyssopturn.peer.generated.LoadDatagram;
import hyssopturn.peer.generated.LoadDatagram.Kind;
import hyssopturn.peer.generated.PriorityLoadMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Wire form of messages about load. */
final class LoadCodec {
    /** Greatest size of a datagram; the platform takes up to 1,400 bytes. */
    static final int MAX_BYTES = 1_350;

    /** Greatest size of the fields besides engines, priorities and names. */
    private static final int HEADER_BYTES = 90;

    private static final int MAX_PRIORITIES = 10;
    private static final int MAX_PRIORITY = 9;
    private static final int MAX_NODES = 100_000;

    /** Greatest plausible rate or number; beyond it a message is not taken in. */
    private static final float MAX_RATE = 1e15f;

    private LoadCodec() {}

    /** Encodes a message as one or more datagrams. */
    static List<byte[]> encode(LoadMessage message) {
        List<LoadDatagram.Builder> forms = new ArrayList<>();
        EngineTokens engines = message.load().engines();
        LoadDatagram.Builder form = header(message);
        int room = room(form);
        int previous = 0;
        for (int i = 0; i < engines.size(); i++) {
            int bytes = bytes(engines, i, previous);
            if (bytes > room) {
                forms.add(form);
                form = header(message).clearPriorities();
                room = room(form);
                previous = 0;
                bytes = bytes(engines, i, previous);
            }
            form.addEngineUnits(engines.units(i));
            if (engines.named()) {
                form.addEngineSteps(engines.hash(i) - previous);
                previous = engines.hash(i);
            }
            room -= bytes;
        }
        forms.add(form);
        List<byte[]> datagrams = new ArrayList<>();
        for (int i = 0; i < forms.size(); i++) {
            datagrams.add(
                    forms.get(i).setFragment(i).setFragments(forms.size()).build().toByteArray());
        }
        return datagrams;
    }

    private static int room(LoadDatagram.Builder form) {
        return MAX_BYTES - HEADER_BYTES - form.build().getSerializedSize();
    }

    private static int bytes(EngineTokens engines, int index, int previous) {
        int hash =
                engines.named()
                        ? CodedOutputStream.computeUInt32SizeNoTag(engines.hash(index) - previous)
                        : 0;
        return hash + CodedOutputStream.computeUInt64SizeNoTag(engines.units(index));
    }

    private static LoadDatagram.Builder header(LoadMessage message) {
        LoadDatagram.Builder form =
                LoadDatagram.newBuilder()
                        .setService(message.scope().service())
                        .setZone(message.scope().zone())
                        .setStartedTokens((float) message.load().startedTokens())
                        .setEndedTokens((float) message.load().endedTokens());
        message.load().priorities().stream()
                .limit(MAX_PRIORITIES)
                .map(LoadCodec::priority)
                .forEach(form::addPriorities);
        return switch (message) {
            case LoadMessage.Report report ->
                    form.setKind(Kind.REPORT)
                            .setStart(report.start())
                            .setSequence(report.sequence())
                            .setNames(report.knownNames())
                            .setStandIn(report.standIn());
            case LoadMessage.Sum sum ->
                    form.setKind(Kind.SUM)
                            .setStart(sum.start())
                            .setSequence(sum.sequence())
                            .setIncluded(sum.included())
                            .setNames(sum.names())
                            .setNodes(sum.nodes())
                            .setAgeMillis((int) sum.age().toMillis())
                            .setMisdirected(sum.misdirected());
        };
    }

    private static PriorityLoadMessage priority(PriorityLoad load) {
        return PriorityLoadMessage.newBuilder()
                .setPriority(load.priority())
                .setAskedPerSecond((float) load.askedPerSecond())
                .setStartedPerSecond((float) load.startedPerSecond())
                .setHeld((float) load.held())
                .setLatePart((float) load.latePart())
                .build();
    }

    /**
     * Decodes a datagram.
     *
     * @throws InvalidArgumentException if it is malformed or not plausible
     */
    static LoadMessage decode(byte[] bytes) {
        try {
            return decode(LoadDatagram.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidArgumentException("message about load: " + e.getMessage());
        }
    }

    private static LoadMessage decode(LoadDatagram form) {
        LoadScope scope = new LoadScope(form.getService(), form.getZone());
        LoadMessage.Fragment fragment =
                new LoadMessage.Fragment(form.getFragment(), form.getFragments());
        Check.that(form.getSequence() > 0 && form.getIncluded() >= 0, "sequence out of range");
        return switch (form.getKind()) {
            case REPORT ->
                    new LoadMessage.Report(
                            scope,
                            form.getStart(),
                            form.getSequence(),
                            form.getStandIn(),
                            form.getNames(),
                            load(form),
                            fragment);
            case SUM ->
                    new LoadMessage.Sum(
                            scope,
                            form.getStart(),
                            form.getSequence(),
                            form.getIncluded(),
                            (int) Check.inRange(form.getNodes(), 0, MAX_NODES, "nodes"),
                            Duration.ofMillis(
                                    Check.inRange(
                                            form.getAgeMillis(), 0, Integer.MAX_VALUE, "age")),
                            form.getMisdirected(),
                            form.getNames(),
                            load(form),
                            fragment);
            case UNRECOGNIZED -> throw new InvalidArgumentException("unknown kind of message");
        };
    }

    private static MeasuredLoad load(LoadDatagram form) {
        Check.that(form.getPrioritiesCount() <= MAX_PRIORITIES, "too many priorities");
        return new MeasuredLoad(
                engines(form),
                rate(form.getStartedTokens()),
                rate(form.getEndedTokens()),
                form.getPrioritiesList().stream().map(LoadCodec::priority).toList());
    }

    private static EngineTokens engines(LoadDatagram form) {
        long[] units = form.getEngineUnitsList().stream().mapToLong(Long::longValue).toArray();
        if (form.getKind() == Kind.SUM && form.getEngineStepsCount() == 0) {
            return units.length == 0 ? EngineTokens.NONE : EngineTokens.unnamed(units);
        }
        int[] hashes = new int[form.getEngineStepsCount()];
        int previous = 0;
        for (int i = 0; i < hashes.length; i++) {
            previous += form.getEngineSteps(i);
            hashes[i] = previous;
        }
        return EngineTokens.of(hashes, units);
    }

    private static PriorityLoad priority(PriorityLoadMessage form) {
        return new PriorityLoad(
                (int) Check.inRange(form.getPriority(), 0, MAX_PRIORITY, "priority"),
                rate(form.getAskedPerSecond()),
                rate(form.getStartedPerSecond()),
                rate(form.getHeld()),
                Math.min(1, rate(form.getLatePart())));
    }

    private static double rate(float value) {
        Check.that(value >= 0 && value <= MAX_RATE, "rate out of range");
        return value;
    }
}
