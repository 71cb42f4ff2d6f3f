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
import hyssopturn.run.AnswerStore;
import hyssopturn.run.Driver;
import hyssopturn.run.EndpointListener;
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

/** A router node: controllers that maintain its state and filters that handle requests. */
public final class Node {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final char NODE_ID_END = '.';
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
    private final AnswerStore answers;
    private final RemoteAnswers remoteAnswers;
    private final Attainment attainment;
    private final ScheduledAdmission admission;
    private final DrainFilter drain = new DrainFilter();
    private final FilterChain filters;
    private Instance self;
    private volatile boolean stopped;

    /**
     * Creates a node that is not started.
     *
     * @param self the node's entry in the instance list
     * @param settings settings of the node
     * @param ports external dependencies
     * @param meters registry for the node's metrics
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
                new AnswerStore(
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
                new PlacementController.Dependencies(
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
                                        new ServiceDriver.Dependencies(
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
        RecoveringDriver.Dependencies parts =
                new RecoveringDriver.Dependencies(
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
                RunSettings.defaults(settings.stallPatience()));
    }

    private EndpointListener evidence() {
        return new EndpointListener() {
            @Override
            public void onUnreachable(Instance endpoint) {
                directory.markSuspect(endpoint.id(), endpoint.incarnation());
            }

            @Override
            public void onLeaving(Instance endpoint) {
                directory.markLeaving(endpoint.id(), endpoint.incarnation());
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
        recordState("started");
    }

    private void announce() {
        if (!stopped) {
            ports.instances().announce(self);
            ports.clock().after(ANNOUNCE_INTERVAL, this::announce);
        }
    }

    private void recordState(String state) {
        logger.atInfo().log("node=%s state=%s", self.id(), state);
        events.record(new Detail.NodeState(state));
    }

    /**
     * Starts a request, whose answer can be read by the request's id.
     *
     * @param call the caller's call
     * @return id of the request
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
     * Reads an answer, remotely if another node retains it.
     *
     * @param request id of the request, which begins with the id of its node
     * @param from number of events to skip
     * @return the rest of the answer, empty if this node should retain it but does not
     */
    public Optional<Multi<AnswerEvent>> answer(RequestId request, int from) {
        Optional<Multi<AnswerEvent>> here = answers.read(request, from);
        Optional<InstanceId> owner = owner(request);
        if (here.isPresent() || owner.isEmpty() || owner.get().equals(self.id())) {
            return here;
        }
        return Optional.of(remoteAnswers.read(owner.get(), request, from));
    }

    private static Optional<InstanceId> owner(RequestId request) {
        int end = request.value().lastIndexOf(NODE_ID_END);
        return Optional.of(request.value().substring(0, Math.max(0, end)))
                .filter(id -> !id.isBlank())
                .map(InstanceId::new);
    }

    /**
     * Returns the address at which another node accepts peer links.
     *
     * @param id id of the node
     * @return its peer address, empty if the node is not listed
     */
    public Optional<Address> peerAddress(InstanceId id) {
        return directory.peerAddress(id);
    }

    /**
     * Returns whether the node can serve requests. Non-repeatable classes may still be refused
     * until the ledger is ready.
     *
     * @return true from the time that the node has a configuration and knows an engine, until it
     *     shuts down
     */
    public boolean ready() {
        return config.current().version() > 0
                && !directory.view().engines().isEmpty()
                && !drain.draining();
    }

    /**
     * Shuts down gracefully: refuses new requests, waits for those in progress and flushes the
     * ledger.
     *
     * @return a future that completes when no request is in progress and all ledger records are in
     *     the log
     */
    public CompletableFuture<Void> drain() {
        recordState("draining");
        self =
                new Instance(
                        self.id(),
                        self.incarnation(),
                        self.role(),
                        self.address(),
                        self.zone(),
                        true);
        ports.instances().announce(self);
        directory.markLeaving(self.id(), self.incarnation());
        return drain.drain().thenCompose(idle -> ledger.flush());
    }

    private void stopLeaseTasks() {
        placement.stop();
        snapshotter.stop();
        lease.stop();
    }

    /** Stops the controllers immediately. */
    public void stop() {
        stopped = true;
        config.stop();
        stopLeaseTasks();
        directory.stop();
        ledger.stop();
        recordState("stopped");
    }

    /**
     * Returns the ledger of non-repeatable calls.
     *
     * @return the ledger
     */
    public Ledger ledger() {
        return ledger;
    }

    /**
     * Returns the node's entry in the instance list.
     *
     * @return the entry
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
     * Returns the node's view of other instances.
     *
     * @return the view
     */
    public View view() {
        return directory.view();
    }

    /**
     * Returns the admission controller.
     *
     * @return queues and limits of admission
     */
    public ScheduledAdmission admission() {
        return admission;
    }

    /**
     * Returns the buffer of recent events.
     *
     * @return the ring buffer
     */
    public EventRing events() {
        return events;
    }

    /**
     * Returns how many requests met their latency target.
     *
     * @return counts by class
     */
    public Attainment attainment() {
        return attainment;
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number of requests
     */
    public int running() {
        return drain.running();
    }
}
