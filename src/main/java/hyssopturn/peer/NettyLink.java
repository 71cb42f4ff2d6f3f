package hyssopturn.peer;

import com.google.common.flogger.FluentLogger;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.PeerLink;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Links over TCP, one for both directions where possible.
 *
 * <p>A link is made when the first message is due, and anew after it fell silent. What waits for a
 * link is bounded; the oldest is dropped first.
 */
public final class NettyLink implements PeerLink, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_CONNECTIONS = 2_048;
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LinkSettings settings;
    private final Function<InstanceId, Optional<Address>> addresses;
    private final LinkCounters counters;
    private final Handshake handshake;
    private final Map<InstanceId, Peer> peers = new ConcurrentHashMap<>();
    private final Map<Topic, BiConsumer<InstanceId, Bytes>> receivers = new ConcurrentHashMap<>();
    private final EventLoopGroup loop =
            new MultiThreadIoEventLoopGroup(
                    1,
                    Thread.ofPlatform().daemon().name("peer-", 0).factory(),
                    NioIoHandler.newFactory());
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean closed;

    /**
     * Starts listening for links.
     *
     * @param settings its settings
     * @param addresses where other nodes listen; empty for a node that is not listed, from which no
     *     link is accepted
     * @param meters where it counts
     */
    public NettyLink(
            LinkSettings settings,
            Function<InstanceId, Optional<Address>> addresses,
            MeterRegistry meters) {
        this.settings = settings;
        this.addresses = addresses;
        counters = new LinkCounters(meters);
        handshake = new Handshake(settings.secret());
        channels.add(listen());
    }

    private Channel listen() {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                accept(channel);
                            }
                        })
                .bind(settings.bind().host(), settings.bind().port())
                .syncUninterruptibly()
                .channel();
    }

    private void accept(SocketChannel channel) {
        if (closed || channels.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        channels.add(channel);
        handler(Optional.empty()).install(channel.pipeline());
    }

    private LinkHandler handler(Optional<InstanceId> expected) {
        return new LinkHandler(settings, handshake, counters, new Owner(), expected);
    }

    @Override
    public void setReceiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver) {
        receivers.put(topic, receiver);
    }

    @Override
    public boolean send(InstanceId to, Topic topic, Bytes message) {
        if (closed || addresses.apply(to).isEmpty() || message.size() > maxMessage()) {
            return false;
        }
        peers.computeIfAbsent(to, Peer::new).send(topic, message);
        return true;
    }

    private int maxMessage() {
        return settings.maxFrameBytes() - LinkHandler.HANDSHAKE_FRAME_BYTES;
    }

    @Override
    public void close() {
        closed = true;
        channels.close().awaitUninterruptibly();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A message that waits for a link. */
    private record Waiting(Topic topic, Bytes message, long nanos) {}

    /** What this end knows of another node; its fields are touched under its lock. */
    private final class Peer {
        private final InstanceId id;
        private final Deque<Waiting> queue = new ArrayDeque<>();
        private LinkHandler handler;
        private ChannelHandlerContext context;
        private boolean connecting;
        private long retryNanos = System.nanoTime();

        Peer(InstanceId id) {
            this.id = id;
        }

        synchronized void send(Topic topic, Bytes message) {
            if (queue.size() >= settings.queueFrames()) {
                queue.pollFirst();
                counters.dropped.increment();
            }
            queue.addLast(new Waiting(topic, message, System.nanoTime()));
            if (context != null) {
                context.executor().execute(this::flush);
            } else {
                connect();
            }
        }

        private void connect() {
            Optional<Address> address = addresses.apply(id);
            if (connecting || System.nanoTime() < retryNanos || address.isEmpty()) {
                return;
            }
            connecting = true;
            ChannelFuture opening =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    Math.toIntExact(settings.connectTimeout().toMillis()))
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            channels.add(channel);
                                            handler(Optional.of(id)).install(channel.pipeline());
                                        }
                                    })
                            .connect(address.get().host(), address.get().port());
            opening.addListener(done -> notConnected(done.isSuccess()));
        }

        private synchronized void notConnected(boolean success) {
            if (!success) {
                connecting = false;
                retryNanos = System.nanoTime() + RETRY_NANOS;
            }
        }

        synchronized void ready(LinkHandler newHandler, ChannelHandlerContext newContext) {
            connecting = false;
            handler = newHandler;
            context = newContext;
            newContext.executor().execute(this::flush);
        }

        /** Forgets a connection; true if it was the one in use. */
        synchronized void closed(ChannelHandlerContext old) {
            connecting = false;
            if (context == old) {
                context = null;
                handler = null;
                logger.atFine().log("peer=%s link=closed", id);
                if (!queue.isEmpty()) {
                    connect();
                }
            } else {
                retryNanos = System.nanoTime() + RETRY_NANOS;
            }
        }

        private void flush() {
            while (true) {
                Waiting next;
                LinkHandler by;
                ChannelHandlerContext on;
                synchronized (this) {
                    on = context;
                    by = handler;
                    if (on == null || !on.channel().isWritable() || queue.isEmpty()) {
                        return;
                    }
                    next = queue.pollFirst();
                }
                if (System.nanoTime() - next.nanos() > STALE_NANOS) {
                    counters.dropped.increment();
                    continue;
                }
                by.send(on, next.topic(), next.message());
            }
        }
    }

    /** Takes what connections tell. */
    private final class Owner implements LinkHandler.Events {
        @Override
        public boolean listed(InstanceId node) {
            return addresses.apply(node).isPresent();
        }

        @Override
        public void ready(InstanceId node, LinkHandler link, ChannelHandlerContext context) {
            peers.computeIfAbsent(node, Peer::new).ready(link, context);
            peers.keySet().removeIf(id -> addresses.apply(id).isEmpty());
        }

        @Override
        public void message(InstanceId node, Topic topic, Bytes message) {
            BiConsumer<InstanceId, Bytes> receiver = receivers.get(topic);
            if (receiver != null) {
                receiver.accept(node, message);
            }
        }

        @Override
        public void writable(InstanceId node) {
            Optional.ofNullable(peers.get(node)).ifPresent(Peer::flush);
        }

        @Override
        public void closed(Optional<InstanceId> node, ChannelHandlerContext context) {
            node.map(peers::get).ifPresent(p -> p.closed(context));
        }
    }
}
