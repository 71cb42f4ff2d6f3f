package hyssopturn.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.member.Fact;
import hyssopturn.member.FactEntry;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.Zone;
import hyssopturn.peer.generated.ConfigFact;
import hyssopturn.peer.generated.EngineRole;
import hyssopturn.peer.generated.FactMessage;
import hyssopturn.peer.generated.HoldingMessage;
import hyssopturn.peer.generated.LeavingFact;
import hyssopturn.peer.generated.ListingFact;
import hyssopturn.peer.generated.LivenessFact;
import hyssopturn.peer.generated.LoadFact;
import hyssopturn.peer.generated.NodeRole;
import hyssopturn.peer.generated.ReportFact;
import hyssopturn.peer.generated.ServiceRole;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.Instance;

import java.util.List;
import java.util.Optional;

/** Wire form of facts. */
final class FactCodec {
    private static final Fact.Health[] HEALTH = Fact.Health.values();
    private static final Phase[] PHASES = Phase.values();

    private FactCodec() {}

    static FactEntry entry(Fact fact) {
        return new FactEntry(fact, Bytes.wrap(encode(fact).toByteArray()));
    }

    /** Decodes a fact; empty if it is malformed or of an unknown kind. */
    static Optional<FactEntry> decode(ByteString bytes) {
        try {
            FactMessage message = FactMessage.parseFrom(bytes);
            return fact(message).map(f -> new FactEntry(f, Bytes.wrap(bytes.toByteArray())));
        } catch (InvalidProtocolBufferException | InvalidArgumentException e) {
            return Optional.empty();
        }
    }

    private static FactMessage encode(Fact fact) {
        FactMessage.Builder message =
                FactMessage.newBuilder()
                        .setSubject(fact.subject().value())
                        .setIncarnation(fact.incarnation());
        switch (fact) {
            case Fact.Leaving f -> message.setLeaving(LeavingFact.getDefaultInstance());
            case Fact.Liveness f ->
                    message.setLiveness(
                            LivenessFact.newBuilder()
                                    .setCounter(f.counter())
                                    .setHealth(f.health().number()));
            case Fact.Listing f -> message.setListing(listing(f.instance()));
            case Fact.Report f -> message.setReport(report(f));
            case Fact.Load f ->
                    message.setLoad(
                            LoadFact.newBuilder()
                                    .setVersion(f.version())
                                    .setRunning(f.running())
                                    .setWaiting(f.waiting())
                                    .setKvFreeTokens(f.kvFreeTokens())
                                    .setStepMillis(f.stepMillis()));
            case Fact.ConfigInForce f ->
                    message.setConfig(ConfigFact.newBuilder().setVersion(f.version()));
        }
        return message.build();
    }

    private static ListingFact listing(Instance instance) {
        ListingFact.Builder listing =
                ListingFact.newBuilder()
                        .setHost(instance.address().host())
                        .setPort(instance.address().port())
                        .setRegion(instance.zone().region())
                        .setZone(instance.zone().name());
        switch (instance.role()) {
            case Instance.Role.Node(Address peers) ->
                    listing.setNode(
                            NodeRole.newBuilder().setHost(peers.host()).setPort(peers.port()));
            case Instance.Role.Engine(String accelerator, long memory, boolean fenced) ->
                    listing.setEngine(
                            EngineRole.newBuilder()
                                    .setAccelerator(accelerator)
                                    .setMemoryBytes(memory)
                                    .setFenced(fenced));
            case Instance.Role.Service(String service) ->
                    listing.setService(ServiceRole.newBuilder().setService(service));
        }
        return listing.build();
    }

    private static ReportFact report(Fact.Report f) {
        return ReportFact.newBuilder()
                .setVersion(f.version())
                .setReachable(f.reachable())
                .addAllHeld(f.held().stream().map(FactCodec::holding).toList())
                .addAllLoading(f.loading().stream().map(FactCodec::holding).toList())
                .setTerm(f.term())
                .build();
    }

    private static HoldingMessage holding(Holding holding) {
        return HoldingMessage.newBuilder()
                .setModel(holding.model().name())
                .setModelVersion(holding.model().version())
                .setFrom(holding.layers().from())
                .setTo(holding.layers().to())
                .addAllAdapters(holding.adapters())
                .setPhase(phase(holding.phase()))
                .build();
    }

    private static int phase(Phase phase) {
        return switch (phase) {
            case PREFILL -> 0;
            case DECODE -> 1;
            case BOTH -> 2;
        };
    }

    private static Optional<Fact> fact(FactMessage m) {
        InstanceId subject = new InstanceId(m.getSubject());
        long incarnation = m.getIncarnation();
        return switch (m.getFactCase()) {
            case LEAVING -> Optional.of(new Fact.Leaving(subject, incarnation));
            case LIVENESS -> liveness(subject, incarnation, m.getLiveness());
            case LISTING -> listing(subject, incarnation, m.getListing());
            case REPORT -> report(subject, incarnation, m.getReport());
            case LOAD -> {
                LoadFact f = m.getLoad();
                yield Optional.of(
                        new Fact.Load(
                                subject,
                                incarnation,
                                f.getVersion(),
                                f.getRunning(),
                                f.getWaiting(),
                                f.getKvFreeTokens(),
                                f.getStepMillis()));
            }
            case CONFIG ->
                    Optional.of(
                            new Fact.ConfigInForce(
                                    subject, incarnation, m.getConfig().getVersion()));
            case FACT_NOT_SET -> Optional.empty();
        };
    }

    private static Optional<Fact> liveness(InstanceId subject, long incarnation, LivenessFact f) {
        if (f.getHealth() < 0 || f.getHealth() >= HEALTH.length) {
            return Optional.empty();
        }
        return Optional.of(
                new Fact.Liveness(subject, incarnation, f.getCounter(), HEALTH[f.getHealth()]));
    }

    private static Optional<Fact> listing(InstanceId subject, long incarnation, ListingFact f) {
        return role(f).map(
                        role ->
                                new Fact.Listing(
                                        new Instance(
                                                subject,
                                                incarnation,
                                                role,
                                                new Address(f.getHost(), f.getPort()),
                                                new Zone(f.getRegion(), f.getZone()),
                                                false)));
    }

    private static Optional<Instance.Role> role(ListingFact f) {
        return switch (f.getRoleCase()) {
            case NODE ->
                    Optional.of(
                            new Instance.Role.Node(
                                    new Address(f.getNode().getHost(), f.getNode().getPort())));
            case ENGINE ->
                    Optional.of(
                            new Instance.Role.Engine(
                                    f.getEngine().getAccelerator(),
                                    f.getEngine().getMemoryBytes(),
                                    f.getEngine().getFenced()));
            case SERVICE -> Optional.of(new Instance.Role.Service(f.getService().getService()));
            case ROLE_NOT_SET -> Optional.empty();
        };
    }

    private static Optional<Fact> report(InstanceId subject, long incarnation, ReportFact f) {
        return Optional.of(
                new Fact.Report(
                        subject,
                        incarnation,
                        f.getVersion(),
                        f.getReachable(),
                        holdings(f.getHeldList()),
                        holdings(f.getLoadingList()),
                        f.getTerm()));
    }

    private static List<Holding> holdings(List<HoldingMessage> messages) {
        return messages.stream()
                .filter(h -> h.getPhase() >= 0 && h.getPhase() < PHASES.length)
                .map(
                        h ->
                                new Holding(
                                        new ModelId(h.getModel(), h.getModelVersion()),
                                        new LayerRange(h.getFrom(), h.getTo()),
                                        h.getAdaptersList(),
                                        PHASES[h.getPhase()]))
                .toList();
    }
}
