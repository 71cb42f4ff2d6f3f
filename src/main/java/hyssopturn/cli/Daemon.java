package hyssopturn.cli;

import hyssopturn.filter.Credentials;
import hyssopturn.front.FrontLimits;
import hyssopturn.front.HttpFront;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.node.Node;
import hyssopturn.node.NodeSettings;
import hyssopturn.node.Ports;
import hyssopturn.node.SystemClock;
import hyssopturn.peer.LinkSettings;
import hyssopturn.peer.NettyLink;
import hyssopturn.port.Instance;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpEngines;
import hyssopturn.wire.HttpPlatform;
import hyssopturn.wire.HttpServices;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A node with its adapters and servers, running in this process. */
final class Daemon implements AutoCloseable {
    private static final int TIMER_THREADS = 2;
    private static final Duration REPLY_LIMIT = Duration.ofSeconds(10);

    private final SystemClock clock = new SystemClock(TIMER_THREADS);
    private final HttpCaller caller;
    private final NettyLink links;
    private final Node node;
    private final HttpServer server;

    /** Network settings of a node. */
    record Network(
            String id,
            String host,
            int port,
            int peerPort,
            Address platform,
            Duration connectTimeout,
            Duration logTimeout,
            Duration engineTimeout,
            Duration serviceTimeout,
            FrontLimits limits,
            String operatorSecret) {}

    Daemon(Vertx vertx, Network network, NodeSettings settings) {
        caller = new HttpCaller(vertx, network.connectTimeout(), network.engineTimeout());
        PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        HttpPlatform platform = new HttpPlatform(caller, network.platform(), network.logTimeout());
        int port = network.port() == 0 ? freePort(network.host()) : network.port();
        int peerPort = network.peerPort() == 0 ? freePort(network.host()) : network.peerPort();
        InstanceId id = new InstanceId(network.id());
        links =
                new NettyLink(
                        LinkSettings.standard(
                                id,
                                new Address(network.host(), peerPort),
                                settings.peerSecret(),
                                network.connectTimeout()),
                        this::peerAddress,
                        meters);
        Ports ports =
                new Ports(
                        platform,
                        platform,
                        platform,
                        new HttpEngines(caller),
                        new HttpServices(caller, network.serviceTimeout()),
                        links,
                        clock,
                        new SecureRandom());
        Instance self =
                new Instance(
                        id,
                        clock.wallMillis(),
                        new Instance.Role.Node(new Address(network.host(), peerPort)),
                        new Address(network.host(), port),
                        settings.zone(),
                        false);
        node = new Node(self, settings, ports, meters);
        server =
                new HttpFront(
                                node,
                                meters,
                                network.limits(),
                                new Credentials(network.operatorSecret()))
                        .listen(vertx, network.host(), port)
                        .await();
        node.start();
    }

    private static int freePort(String host) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new java.net.InetSocketAddress(host, 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Links may come before the node is assembled; none is accepted until then. */
    private Optional<Address> peerAddress(InstanceId id) {
        return Optional.ofNullable(node()).flatMap(n -> n.peerAddress(id));
    }

    Node node() {
        return node;
    }

    Address address() {
        return node.self().address();
    }

    /**
     * Shuts down gracefully: no request in progress is cut off, and its last bytes are sent before
     * the process ends.
     */
    void drain(Duration limit) {
        node.drain().completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS).join();
        server.shutdown(REPLY_LIMIT.toMillis(), TimeUnit.MILLISECONDS).await();
    }

    @Override
    public void close() {
        node.stop();
        server.close();
        links.close();
        caller.close();
        clock.close();
    }
}
