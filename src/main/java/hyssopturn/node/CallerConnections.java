package hyssopturn.node;

import hyssopturn.port.Clock;
import hyssopturn.relay.CallerMemory;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.util.AttributeKey;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All connections of callers. Closes idle and slow ones when memory or connections are used up, and
 * accepts no others while there are too many.
 *
 * <p>Connections are counted where they are accepted, which is another thread than the event loop
 * that serves them.
 */
final class CallerConnections {
    private static final AttributeKey<Boolean> COUNTED =
            AttributeKey.valueOf(CallerConnections.class, "counted");

    /** Time for which a connection must have been idle or late before it is closed for others. */
    private static final Duration MIN_LAG = Duration.ofSeconds(1);

    /** Interval at which connections are looked through while there are too many. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** Minimum interval between looking through connections for memory. */
    private static final Duration RELIEF_INTERVAL = Duration.ofMillis(20);

    /** Delay of a timer that runs as soon as possible, but not at once. */
    private static final long RELEASE_MILLIS = 1;

    /** Connections to endpoints that one request has at most, one for each attempt. */
    private static final int REQUEST_DESCRIPTORS = 2;

    /** Part of the connections that is closed at once if there are too many, as a divisor. */
    private static final int CLOSED_DIVISOR = 16;

    /** Part of the memory that is in use after a relief, at most. */
    private static final double RELIEVED_SHARE = 0.9;

    /** Memory in use, relative to the limit, from which answers that were not read are dropped. */
    private static final double OVERRUN = 1.25;

    private final Clock clock;
    private final CallerMemory memory;
    private final WriteMemory writeMemory;
    private final ReceiveBuffers receiveBuffers;
    private final int limit;
    private final int requestLimit;
    private final MeterRegistry meters;
    private final Set<CallerConnection> open = new HashSet<>();
    private final AtomicInteger accepted = new AtomicInteger();

    /** Bytes that the system may hold with the receive buffers of all connections. */
    private final AtomicLong mostUnreadBytes = new AtomicLong();

    private final Acceptor acceptor = new Acceptor();
    private int requests;
    private long relievedNanos = Long.MIN_VALUE / 2;
    private long closedLateNanos = Long.MIN_VALUE / 2;
    private boolean relieving;
    private boolean paused;
    private int waitingReceiveBytes;

    /**
     * Creates the connections of a node.
     *
     * @param clock clock and timer of the event loop
     * @param memory memory of all callers
     * @param writeMemory direct memory of all connections
     * @param receiveBuffers sizes of the receive buffers of connections
     * @param limit maximum number of connections
     * @param requestLimit maximum number of descriptors of callers and their requests
     * @param meters destination of metrics
     */
    CallerConnections(
            Clock clock,
            CallerMemory memory,
            WriteMemory writeMemory,
            ReceiveBuffers receiveBuffers,
            int limit,
            int requestLimit,
            MeterRegistry meters) {
        this.clock = clock;
        this.requestLimit = requestLimit;
        this.memory = memory;
        this.writeMemory = writeMemory;
        this.receiveBuffers = receiveBuffers;
        this.limit = limit;
        this.meters = meters;
        meters.gauge("hyssopturn.caller.connections", accepted);
        meters.gauge("hyssopturn.caller.connections.limit", this, c -> c.limit);
        meters.gauge("hyssopturn.caller.requests", this, c -> c.requests);
        meters.gauge("hyssopturn.caller.requests.limit", this, c -> c.requestLimit);
        meters.gauge("hyssopturn.caller.unread.bytes.most", mostUnreadBytes);
        meters.gauge(
                "hyssopturn.caller.unread.bytes.limit", receiveBuffers, ReceiveBuffers::limitBytes);
        meters.gauge("hyssopturn.caller.bytes", memory, CallerMemory::heldBytes);
        meters.gauge("hyssopturn.caller.bytes.limit", memory, CallerMemory::limitBytes);
        memory.whenFull(this::relieveMemory);
    }

    /** Adds a connection on its event loop, and removes it when it has ended. */
    void add(CallerConnection connection, Channel channel) {
        Channel server = channel.parent();
        if (server.pipeline().get(Acceptor.class) == null) {
            server.pipeline().addFirst(acceptor);
            server.config().setRecvByteBufAllocator(oneByOne());
        }
        count(channel, server);
        open.add(connection);
        channel.closeFuture().addListener(closed -> open.remove(connection));
    }

    /**
     * Makes the server accept one connection at a time, so that each is counted before the next.
     */
    private static RecvByteBufAllocator oneByOne() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    /**
     * Counts a request, which needs connections to endpoints besides that of its caller; returns
     * false if there are too many.
     */
    boolean beginRequest() {
        if (accepted.get() + (requests + 1) * REQUEST_DESCRIPTORS > requestLimit) {
            closeLate("requests");
            return false;
        }
        requests++;
        return true;
    }

    /** Uncounts a request whose answer has been sent. */
    void endRequest() {
        requests--;
    }

    CallerMemory memory() {
        return memory;
    }

    WriteMemory writeMemory() {
        return writeMemory;
    }

    /** Counts a connection that was closed or refused for the sake of others. */
    void closedFor(String cause) {
        meters.counter("hyssopturn.caller.closed", "cause", cause).increment();
    }

    /** Sees connections as they are accepted. */
    @ChannelHandler.Sharable
    private final class Acceptor extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof Channel channel) {
                count(channel, context.channel());
            }
            context.fireChannelRead(message);
        }
    }

    private void count(Channel channel, Channel server) {
        if (channel.attr(COUNTED).getAndSet(true) != null) {
            return;
        }
        limitUnread(channel, server, accepted.getAndIncrement());
        channel.closeFuture().addListener(closed -> uncountLater(channel, server));
        pauseIfFull(server);
    }

    /** Sets the receive buffers of a new connection, and of those that are not accepted yet. */
    private void limitUnread(Channel channel, Channel server, int open) {
        int bytes = receiveBuffers.next(open);
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_RCVBUF, bytes);
        }
        limitWaiting(server, bytes);
        long held = (long) bytes * ReceiveBuffers.HELD_PER_BYTE;
        mostUnreadBytes.addAndGet(held);
        channel.closeFuture().addListener(closed -> mostUnreadBytes.addAndGet(-held));
    }

    private synchronized void limitWaiting(Channel server, int bytes) {
        if (bytes != waitingReceiveBytes && server.isOpen()) {
            waitingReceiveBytes = bytes;
            server.config().setOption(ChannelOption.SO_RCVBUF, bytes);
        }
    }

    /**
     * Uncounts a connection after its descriptor has been released, which the next selection does.
     * Timers that are due run between two selections, so the second timer runs after one.
     */
    private void uncountLater(Channel channel, Channel server) {
        if (!channel.isRegistered()) {
            uncount(server);
            return;
        }
        EventLoop loop = channel.eventLoop();
        later(loop, () -> later(loop, () -> uncount(server)));
    }

    private static void later(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.schedule(task, RELEASE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void uncount(Channel server) {
        int open = accepted.decrementAndGet();
        limitWaiting(server, receiveBuffers.next(open));
        resumeIfRoom(server);
    }

    private synchronized void pauseIfFull(Channel server) {
        if (paused || accepted.get() < limit) {
            return;
        }
        paused = true;
        server.config().setAutoRead(false);
        clock.after(Duration.ZERO, this::closeForConnections);
    }

    private synchronized void resumeIfRoom(Channel server) {
        if (paused && accepted.get() < limit) {
            paused = false;
            server.config().setAutoRead(true);
        }
    }

    private synchronized boolean paused() {
        return paused;
    }

    /** Closes some connections while no others are accepted. */
    private void closeForConnections() {
        if (!paused()) {
            return;
        }
        closeLate("connections");
        clock.after(CHECK_INTERVAL, this::closeForConnections);
    }

    /** Closes some connections that are late, idle ones first; at most each interval. */
    private void closeLate(String cause) {
        long now = clock.nanos();
        if (now - closedLateNanos < RELIEF_INTERVAL.toNanos()) {
            return;
        }
        closedLateNanos = now;
        Comparator<CallerConnection> idleFirst =
                Comparator.comparing(c -> c.state() != CallerState.IDLE);
        late(MIN_LAG).stream()
                .sorted(idleFirst.thenComparing(this::lag, Comparator.reverseOrder()))
                .limit(Math.max(1, limit / CLOSED_DIVISOR))
                .forEach(c -> c.closeForOthers(cause));
    }

    private void relieveMemory() {
        long now = clock.nanos();
        boolean overrun = memory.heldBytes() > memory.limitBytes() * OVERRUN;
        boolean early = now - relievedNanos < RELIEF_INTERVAL.toNanos();
        if (relieving || (early && !overrun)) {
            return;
        }
        relieving = true;
        relievedNanos = now;
        closeForMemory(late(MIN_LAG), memory.limitBytes() * RELIEVED_SHARE);
        if (overrun) {
            closeForMemory(unread(), memory.limitBytes() * OVERRUN);
        }
        relieving = false;
    }

    private List<CallerConnection> late(Duration least) {
        return open.stream()
                .filter(c -> c.state() != CallerState.BUSY)
                .filter(c -> lag(c) >= least.toNanos())
                .toList();
    }

    private List<CallerConnection> unread() {
        return open.stream().filter(c -> c.state() == CallerState.UNREAD).toList();
    }

    /** Closes slow connections and then idle ones, the latest first, until memory is left. */
    private void closeForMemory(List<CallerConnection> connections, double left) {
        Comparator<CallerConnection> slowFirst =
                Comparator.comparing(c -> c.state() == CallerState.IDLE);
        List<CallerConnection> order =
                connections.stream()
                        .sorted(slowFirst.thenComparing(this::lag, Comparator.reverseOrder()))
                        .toList();
        long held = memory.heldBytes();
        for (CallerConnection connection : order) {
            if (held <= left) {
                return;
            }
            held -= connection.closeForOthers("memory");
        }
    }

    private long lag(CallerConnection connection) {
        return connection.lagNanos(clock.nanos());
    }
}
