package hyssopturn.tunnel;

import com.google.common.flogger.FluentLogger;

import hyssopturn.model.Address;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.ConnectionBase;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Opens connections to endpoints for other nodes, and passes bytes on in both directions.
 *
 * <p>The node that asks keeps the request: its attempts, deadline and budget. Nothing is read of
 * what passes. A connection is always made directly, so there is no second hop. When either side
 * ends, so does the other; a reset stays a reset, since an answer without a length that ends by one
 * is not complete.
 */
public final class TunnelServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Time within which an endpoint must accept a connection; far more than a sound one needs. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** Time after which a tunnel without bytes in either direction is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final Vertx vertx;
    private final NetClient client;
    private final Predicate<Address> permitted;
    private final int limit;
    private final MeterRegistry meters;
    private boolean accepting = true;
    private int open;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx event loop
     * @param permitted tests whether an address is that of a known endpoint
     * @param limit greatest number of tunnels at once
     * @param meters registry for counters
     */
    public TunnelServer(
            Vertx vertx, Predicate<Address> permitted, int limit, MeterRegistry meters) {
        this.vertx = vertx;
        this.permitted = permitted;
        this.limit = limit;
        this.meters = meters;
        client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                                .setIdleTimeout((int) IDLE_TIMEOUT.toSeconds())
                                .setIdleTimeoutUnit(TimeUnit.SECONDS));
        meters.gauge("hyssopturn.tunnels.open", this, TunnelServer::open);
    }

    /**
     * Starts to listen.
     *
     * @param address address at which other nodes ask
     * @return completes once the server listens
     */
    public Future<Void> listen(Address address) {
        NetServerOptions options =
                new NetServerOptions()
                        .setTcpNoDelay(true)
                        .setIdleTimeout((int) IDLE_TIMEOUT.toSeconds())
                        .setIdleTimeoutUnit(TimeUnit.SECONDS);
        return vertx.createNetServer(options)
                .connectHandler(this::accept)
                .listen(address.port(), address.host())
                .onFailure(e -> logger.atWarning().log("cannot listen at %s: %s", address, e))
                .mapEmpty();
    }

    /** Opens no further tunnels; those that are open go on. */
    public void stopAccepting() {
        accepting = false;
    }

    /**
     * Returns the number of tunnels.
     *
     * @return the number
     */
    public int open() {
        return open;
    }

    private void accept(NetSocket asking) {
        asking.exceptionHandler(e -> asking.close());
        asking.handler(bytes -> greet(asking, bytes));
    }

    private void greet(NetSocket asking, Buffer greeting) {
        int length = SocksRequest.greetingLength(greeting.getBytes());
        if (length == 0) {
            readOn(asking, greeting, this::greet);
            return;
        }
        asking.write(Buffer.buffer(SocksRequest.welcome()));
        readRequest(asking, greeting.slice(length, greeting.length()));
    }

    private void readRequest(NetSocket asking, Buffer request) {
        if (!SocksRequest.whole(request.getBytes())) {
            readOn(asking, request, this::readRequest);
            return;
        }
        asking.pause();
        connect(asking, SocksRequest.decode(request.getBytes()));
    }

    /** Reads more of a message; ends a connection that sends more than one takes. */
    private static void readOn(
            NetSocket asking, Buffer read, BiConsumer<NetSocket, Buffer> reader) {
        if (read.length() > SocksRequest.MAX_BYTES) {
            asking.close();
            return;
        }
        asking.handler(bytes -> reader.accept(asking, read.copy().appendBuffer(bytes)));
    }

    private void connect(NetSocket asking, Optional<Address> target) {
        Optional<Address> endpoint =
                target.filter(permitted).filter(t -> accepting && open < limit);
        if (endpoint.isEmpty()) {
            refuse(asking, "not permitted");
            return;
        }
        open++;
        boolean[] left = {false};
        asking.closeHandler(v -> left[0] = true);
        client.connect(endpoint.get().port(), endpoint.get().host())
                .onComplete(
                        reached -> {
                            if (left[0]) {
                                open--;
                                reached.close();
                                return;
                            }
                            count("opened");
                            join(asking, reached);
                        },
                        error -> {
                            open--;
                            refuse(asking, "not reached");
                        });
    }

    private void refuse(NetSocket asking, String outcome) {
        count(outcome);
        asking.end(Buffer.buffer(SocksRequest.reply(false)));
    }

    private void count(String outcome) {
        meters.counter("hyssopturn.tunnels", "outcome", outcome).increment();
    }

    private void join(NetSocket asking, NetSocket endpoint) {
        boolean[] closed = {false};
        Runnable ended =
                () -> {
                    open -= closed[0] ? 0 : 1;
                    closed[0] = true;
                };
        asking.write(Buffer.buffer(SocksRequest.reply(true)));
        pass(asking, endpoint, ended);
        pass(endpoint, asking, ended);
        asking.resume();
    }

    private static void pass(NetSocket from, NetSocket to, Runnable ended) {
        boolean[] reset = {false};
        from.handler(
                bytes -> {
                    to.write(bytes);
                    if (to.writeQueueFull()) {
                        from.pause();
                        to.drainHandler(v -> from.resume());
                    }
                });
        from.exceptionHandler(e -> reset[0] = true);
        from.closeHandler(
                v -> {
                    ended.run();
                    if (reset[0]) {
                        reset(to);
                    } else {
                        to.end();
                    }
                });
    }

    /** Closes a connection by a reset, so that its end does not look like that of an answer. */
    private static void reset(NetSocket socket) {
        Channel channel = ((ConnectionBase) socket).channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        socket.close();
    }
}
