package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.admit.RetryBudget;
import hyssopturn.admit.ScheduledAdmission;
import hyssopturn.config.ConfigController;
import hyssopturn.config.Seal;
import hyssopturn.config.Snapshotter;
import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.event.HybridClock;
import hyssopturn.event.StampedLink;
import hyssopturn.filter.AccountFilter;
import hyssopturn.filter.AdmitFilter;
import hyssopturn.filter.AttainmentFilter;
import hyssopturn.filter.ClassFilter;
import hyssopturn.filter.Credentials;
import hyssopturn.filter.DrainFilter;
import hyssopturn.filter.Exchange;
import hyssopturn.filter.FilterChain;
import hyssopturn.filter.LedgerFilter;
import hyssopturn.filter.OutcomeFilter;
import hyssopturn.filter.RunFilter;
import hyssopturn.lease.LeaseController;
import hyssopturn.lease.LeaseTiming;
import hyssopturn.ledger.Ledger;
import hyssopturn.ledger.LedgerSettings;
import hyssopturn.ledger.LogLedger;
import hyssopturn.member.Directory;
import hyssopturn.member.MemberSettings;
import hyssopturn.member.View;
import hyssopturn.metric.Attainment;
import hyssopturn.model.Address;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Config;
import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;
import hyssopturn.model.Work;
import hyssopturn.peer.MemberCodec;
import hyssopturn.peer.RemoteAnswers;
import hyssopturn.place.DemandMeter;
import hyssopturn.place.Links;
import hyssopturn.place.PlacementController;
import hyssopturn.place.ServingVersions;
import hyssopturn.port.Instance;
import hyssopturn.port.PeerLink;
import hyssopturn.route.BestRoutes;
import hyssopturn.route.ObservedCosts;
import hyssopturn.run.ActivationBudget;
import hyssopturn.run.Answers;
import hyssopturn.run.Driver;
import hyssopturn.run.Evidence;
import hyssopturn.run.RecoveringDriver;
import hyssopturn.run.RunSettings;
import hyssopturn.run.ServiceDriver;

import io.micrometer.core.instrument.MeterRegistry;
import io.smallrye.mutiny.Multi;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** One entry instance: controllers that keep its state and filters that handle requests. */
public final class Node {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final char KEEPER_END = '.';
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(2);

    private final Ports ports;
    private final MeterRegistry meters;
    private final EventRing events;
    private final ConfigController config;
    private final LeaseController lease;
    private final Snapshotter snapshotter;
    private final PlacementController placement;
    private final DemandMeter demand;
    private final ServingVersions versions = new ServingVersions();
    private final Directory directory;
    private final LogLedger ledger;
    private final Answers answers;
    private final RemoteAnswers remoteAnswers;
    private final Attainment attainment;
    private final ScheduledAdmission admission;
    private final DrainFilter drain = new DrainFilter();
    private final FilterChain filters;
    private Instance self;
    private volatile boolean stopped;

    /**
     * Assembles a node that has not started.
     *
     * @param self how the node is listed
     * @param settings its settings
     * @param ports everything outside
     * @param meters where it counts
     */
    public Node(Instance self, NodeSettings settings, Ports ports, MeterRegistry meters) {
        this.self = self;
        this.ports = ports;
        this.meters = meters;
        HybridClock stamps = new HybridClock(ports.clock());
        PeerLink peers = new StampedLink(ports.peers(), stamps);
        events = new EventRing(self.id(), stamps, settings.eventCapacity());
        config =
                new ConfigController(
                        ports.log(), ports.clock(), new Seal(settings.peerSecret()), meters);
        directory =
                new Directory(
                        MemberSettings.standard(self, settings.pollInterval()),
                        ports.instances(),
                        ports.engines(),
                        peers,
                        new MemberCodec(),
                        new ExchangedConfig(config),
                        ports.clock(),
                        ports.random(),
                        events);
        ledger =
                new LogLedger(
                        uniqueName(),
                        new LedgerSettings(
                                settings.ledgerKeep(),
                                settings.logRetention(),
                                settings.logAppends()),
                        ports.log(),
                        ports.clock(),
                        ports.random());
        admission = new ScheduledAdmission(settings.admit(), ports.clock());
        answers =
                new Answers(
                        ports.clock(),
                        settings.answerKeep(),
                        settings.answerBytes(),
                        settings.callerGrace());
        remoteAnswers = new RemoteAnswers(peers, ports.clock(), answers::read);
        attainment = new Attainment(meters);
        demand = new DemandMeter(ports.clock());
        lease = lease();
        snapshotter =
                new Snapshotter(
                        config,
                        ports.log(),
                        ports.clock(),
                        () -> lease.term().isPresent(),
                        settings.logRetention(),
                        meters);
        placement = placement();
        filters = filters(settings);
    }

    private LeaseController lease() {
        return new LeaseController(
                self.id(),
                ports.log(),
                ports.clock(),
                new SplittableRandom(ports.random().nextLong()),
                LeaseTiming.STANDARD,
                held -> events.record(new Detail.NodeState(held ? "lease-taken" : "lease-lost")),
                meters);
    }

    private PlacementController placement() {
        return new PlacementController(
                new PlacementController.Outside(
                        config::current,
                        directory::view,
                        ports.engines(),
                        ports.weights(),
                        ports.clock()),
                lease,
                LeaseTiming.STANDARD,
                demand,
                Links.BY_DISTANCE,
                meters);
    }

    private FilterChain filters(NodeSettings settings) {
        return new FilterChain(
                List.of(
                        new OutcomeFilter(events, meters),
                        drain,
                        new AccountFilter(new Credentials(settings.accountSecret())),
                        new ClassFilter(events),
                        new AttainmentFilter(attainment, ports.clock()),
                        new LedgerFilter(ledger, ports.clock(), events),
                        new AdmitFilter(admission, ports.clock()),
                        new RunFilter(
                                driver(settings),
                                new ServiceDriver(
                                        new ServiceDriver.Parts(
                                                ports.services(),
                                                directory::view,
                                                new RetryBudget(),
                                                evidence(),
                                                ports.clock(),
                                                ports.random(),
                                                events)))));
    }

    private Driver driver(NodeSettings settings) {
        ObservedCosts costs = new ObservedCosts(ports.clock());
        RecoveringDriver.Parts parts =
                new RecoveringDriver.Parts(
                        ports.engines(),
                        new BestRoutes(costs, ports.clock(), ports.random()),
                        costs,
                        directory::view,
                        evidence(),
                        ports.clock(),
                        events,
                        meters);
        return new RecoveringDriver(
                parts,
                new ActivationBudget(settings.activationBytes()),
                RunSettings.usual(settings.stallPatience()));
    }

    private Evidence evidence() {
        return new Evidence() {
            @Override
            public void unreachable(Instance endpoint) {
                directory.suspect(endpoint.id(), endpoint.incarnation());
            }

            @Override
            public void leaving(Instance endpoint) {
                directory.leaving(endpoint.id(), endpoint.incarnation());
            }
        };
    }

    /** Starts the controllers. */
    public void start() {
        config.listen(c -> events.record(new Detail.ConfigInForce(c.version())));
        config.listen(admission::configured);
        config.start();
        directory.start();
        ledger.start();
        lease.start();
        snapshotter.start();
        placement.start();
        announce();
        state("started");
    }

    private void announce() {
        if (!stopped) {
            ports.instances().announce(self);
            ports.clock().after(ANNOUNCE_INTERVAL, this::announce);
        }
    }

    private void state(String state) {
        logger.atInfo().log("node=%s state=%s", self.id(), state);
        events.record(new Detail.NodeState(state));
    }

    /**
     * Takes a request; its answer is read by its name.
     *
     * @param call what the caller sent
     * @return name of the request
     */
    public RequestId submit(Exchange.Call call) {
        RequestId request = new RequestId(uniqueName());
        Config serving = versions.choose(config.current(), directory.view());
        Exchange exchange = new Exchange(request, call, serving, ports.clock().nanos());
        serving.workClass(call.workClass())
                .filter(c -> c.work() instanceof Work.Generate)
                .ifPresent(c -> demand.count(((Work.Generate) c.work()).model()));
        Multi<AnswerEvent> run = Multi.createFrom().deferred(() -> filters.handle(exchange));
        answers.start(request, run, call.input() instanceof Exchange.Input.Text);
        return request;
    }

    private String uniqueName() {
        return "%s.%016x%08x"
                .formatted(self.id(), ports.random().nextLong(), ports.random().nextInt());
    }

    /**
     * Reads an answer, at the node that keeps it if that is another one.
     *
     * @param request name of the request, which begins with the name of its node
     * @param from number of events to skip
     * @return the rest of the answer, empty if it should be kept here and is not
     */
    public Optional<Multi<AnswerEvent>> answer(RequestId request, int from) {
        Optional<Multi<AnswerEvent>> here = answers.read(request, from);
        Optional<InstanceId> keeper = keeper(request);
        if (here.isPresent() || keeper.isEmpty() || keeper.get().equals(self.id())) {
            return here;
        }
        return Optional.of(remoteAnswers.read(keeper.get(), request, from));
    }

    private static Optional<InstanceId> keeper(RequestId request) {
        int end = request.value().lastIndexOf(KEEPER_END);
        return Optional.of(request.value().substring(0, Math.max(0, end)))
                .filter(name -> !name.isBlank())
                .map(InstanceId::new);
    }

    /**
     * Tells where another node accepts links.
     *
     * @param id the node
     * @return its address for links, empty if it is not listed
     */
    public Optional<Address> peerAddress(InstanceId id) {
        return directory.peerAddress(id);
    }

    /**
     * Tells whether the node can serve. Classes that must not be repeated may still be refused,
     * while the ledger is not ready.
     *
     * @return true once it has a configuration and sees endpoints, until it shuts down
     */
    public boolean ready() {
        return config.current().version() > 0
                && !directory.view().engines().isEmpty()
                && !drain.draining();
    }

    /**
     * Shuts down gracefully: refuses new requests, waits for those in progress and for the ledger.
     *
     * @return completes when no request is in progress and the ledger is in the log
     */
    public CompletableFuture<Void> drain() {
        state("draining");
        self =
                new Instance(
                        self.id(),
                        self.incarnation(),
                        self.role(),
                        self.address(),
                        self.zone(),
                        true);
        ports.instances().announce(self);
        directory.leaving(self.id(), self.incarnation());
        return drain.drain().thenCompose(idle -> ledger.flush());
    }

    private void stopDuties() {
        placement.stop();
        snapshotter.stop();
        lease.stop();
    }

    /** Stops the controllers at once. */
    public void stop() {
        stopped = true;
        config.stop();
        stopDuties();
        directory.stop();
        ledger.stop();
        state("stopped");
    }

    /**
     * Returns the agreement on calls that must not be repeated.
     *
     * @return the ledger
     */
    public Ledger ledger() {
        return ledger;
    }

    /**
     * Returns how the node is listed.
     *
     * @return its entry
     */
    public Instance self() {
        return self;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public Config config() {
        return config.current();
    }

    /**
     * Returns what the node knows of others.
     *
     * @return the view
     */
    public View view() {
        return directory.view();
    }

    /**
     * Returns the node's admission.
     *
     * @return queues and limits
     */
    public ScheduledAdmission admission() {
        return admission;
    }

    /**
     * Returns the recent events.
     *
     * @return the ring
     */
    public EventRing events() {
        return events;
    }

    /**
     * Returns how many requests met their target.
     *
     * @return counts by class
     */
    public Attainment attainment() {
        return attainment;
    }

    /**
     * Counts requests in progress.
     *
     * @return number of requests
     */
    public int running() {
        return drain.running();
    }
}
