package hyssopturn.tunnel;

import hyssopturn.model.Address;
import hyssopturn.port.Clock;
import hyssopturn.relay.EndpointClient;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.ProxyOptions;
import io.vertx.core.net.ProxyType;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Opens requests to endpoints, through other nodes if this node cannot reach an endpoint and they
 * can. Nothing is sent until a connection is open, so the ways are tried without any risk that a
 * request runs twice. Runs on the event loop of its client.
 */
public final class EndpointConnector implements EndpointClient {
    /** Time within which another node must have opened a connection. */
    private static final Duration HELPER_TIMEOUT = Duration.ofMillis(250);

    /** Least time between trials of further nodes. */
    private static final Duration EXPLORE_INTERVAL = Duration.ofMillis(100);

    /** Number of nodes that are asked whether they reach an endpoint. */
    private static final int PROBE_HELPERS = 2;

    private final EndpointClient own;
    private final HttpClient client;
    private final Clock clock;
    private final MeterRegistry meters;
    private final Consumer<Boolean> linkListener;
    private final Helpers helpers;
    private final EndpointPaths paths = new EndpointPaths();
    private final Set<HttpClientRequest> indirect = Collections.newSetFromMap(new WeakHashMap<>());
    private long exploredNanos = Long.MIN_VALUE / 2;
    private boolean linksLost;

    /**
     * Creates a connector that knows no other nodes yet.
     *
     * @param own opens requests without the help of other nodes
     * @param client HTTP client for requests through other nodes
     * @param clock clock whose tasks run on the event loop of the client
     * @param random random number generator
     * @param linkListener receives whether all links of this node to endpoints are lost
     * @param meters registry for counters
     */
    public EndpointConnector(
            EndpointClient own,
            HttpClient client,
            Clock clock,
            RandomGenerator random,
            Consumer<Boolean> linkListener,
            MeterRegistry meters) {
        this.own = own;
        this.client = client;
        this.clock = clock;
        this.linkListener = linkListener;
        this.meters = meters;
        helpers = new Helpers(random);
        meters.gauge("hyssopturn.paths.lost", paths, EndpointPaths::lostCount);
    }

    /**
     * Sets the nodes that may open connections.
     *
     * @param tunnels addresses of their tunnel servers, without this node's own
     */
    public void helpers(Collection<Address> tunnels) {
        helpers.replace(tunnels);
    }

    @Override
    public Future<HttpClientRequest> request(RequestOptions options) {
        Address endpoint = new Address(options.getHost(), options.getPort());
        return new Opening(this, options, endpoint).start();
    }

    @Override
    public boolean indirect(HttpClientRequest request) {
        return indirect.contains(request);
    }

    /**
     * Asks another node whether it reaches an endpoint to which this one got no connection.
     *
     * @param endpoint address of the endpoint
     * @return whether one of the nodes that were asked got a connection; does not fail
     */
    public Future<Boolean> reachedByOthers(Address endpoint) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(endpoint.host())
                        .setPort(endpoint.port())
                        .setConnectTimeout(HELPER_TIMEOUT.toMillis());
        List<Future<HttpClientRequest>> openings =
                ask(endpoint, PROBE_HELPERS).stream().map(h -> through(h, options)).toList();
        if (openings.isEmpty()) {
            return Future.succeededFuture(false);
        }
        openings.forEach(opening -> opening.onSuccess(HttpClientRequest::reset));
        return Future.any(openings)
                .map(true)
                .otherwise(false)
                .onSuccess(
                        reached -> {
                            if (reached) {
                                recordLost(endpoint);
                            } else {
                                recordUnreachable(endpoint);
                            }
                        });
    }

    /**
     * Returns the addresses of some nodes in the order in which to ask them for a connection; none
     * if no node reached the endpoint a short time ago.
     */
    List<Address> ask(Address endpoint, int most) {
        long now = clock.nanos();
        return paths.unreachable(endpoint, now) ? List.of() : helpers.inOrder(most, now);
    }

    /**
     * Tries another node from time to time while this one needs help, so that the first one that
     * succeeded does not get all requests. Nothing is sent.
     */
    void explore(RequestOptions options) {
        long now = clock.nanos();
        if (now - exploredNanos < EXPLORE_INTERVAL.toNanos()) {
            return;
        }
        exploredNanos = now;
        helpers.unknown(now)
                .ifPresent(h -> through(h, options).onSuccess(HttpClientRequest::reset));
    }

    boolean lost(Address endpoint) {
        return !helpers.empty() && paths.lost(endpoint, clock.nanos());
    }

    boolean takeTrial() {
        return paths.takeTrial(clock.nanos());
    }

    Clock clock() {
        return clock;
    }

    Future<HttpClientRequest> direct(RequestOptions options) {
        return own.request(options);
    }

    /** Opens a request through another node. */
    Future<HttpClientRequest> through(Address helper, RequestOptions options) {
        ProxyOptions proxy =
                new ProxyOptions()
                        .setType(ProxyType.SOCKS5)
                        .setHost(helper.host())
                        .setPort(helper.port())
                        .setConnectTimeout(HELPER_TIMEOUT);
        return client.request(new RequestOptions(options).setProxyOptions(proxy))
                .onComplete(
                        opened -> {
                            indirect.add(opened);
                            helpers.record(helper, true, clock.nanos());
                        },
                        error -> helpers.record(helper, false, clock.nanos()));
    }

    void recordReached(Address endpoint) {
        paths.recordReached(endpoint, clock.nanos());
        reportLinks();
    }

    /** Reports that all links to endpoints are lost, or that this is over. */
    private void reportLinks() {
        boolean lost = paths.allLost(clock.nanos());
        if (lost != linksLost) {
            linksLost = lost;
            linkListener.accept(lost);
        }
    }

    /** Records that another node reaches an endpoint and this one does not. */
    void recordLost(Address endpoint) {
        paths.recordLost(endpoint, clock.nanos());
        reportLinks();
    }

    /** Records that no node reaches an endpoint, as far as they were asked. */
    void recordUnreachable(Address endpoint) {
        paths.recordUnreachable(endpoint, clock.nanos());
    }

    void count(String way) {
        meters.counter("hyssopturn.endpoint.openings", "way", way).increment();
    }
}
