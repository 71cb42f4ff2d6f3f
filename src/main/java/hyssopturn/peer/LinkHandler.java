package hyssopturn.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.peer.generated.Frame;
import hyssopturn.port.PeerLink.Topic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One connection: proves both ends, then hands frames on and notices silence. */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    static final int VERSION = 1;
    static final int HANDSHAKE_FRAME_BYTES = 512;
    static final int LENGTH_BYTES = 4;
    private static final String FRAMES = "frames";
    private static final int SILENT_HEARTBEATS = 3;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final LinkSettings settings;
    private final Handshake handshake;
    private final LinkCounters counters;
    private final Events events;
    private final Optional<InstanceId> expected;
    private final byte[] nonce = new byte[Handshake.NONCE_BYTES];
    private byte[] theirNonce = new byte[0];
    private InstanceId peer;
    private State state = State.AWAITING;
    private Optional<Future<?>> heartbeats = Optional.empty();
    private long heardNanos;
    private long sentNanos;

    /** What a connection tells its owner. */
    interface Events {
        /** Tells whether a node may open links to this one. */
        boolean listed(InstanceId node);

        /** Notes that both ends are proved. */
        void ready(InstanceId node, LinkHandler link, ChannelHandlerContext context);

        /** Takes a message. */
        void message(InstanceId node, Topic topic, Bytes message);

        /** Notes that more may be written. */
        void writable(InstanceId node);

        /** Notes that the connection is gone. */
        void closed(Optional<InstanceId> node, ChannelHandlerContext context);
    }

    private enum State {
        /** Nothing has come yet. */
        AWAITING,
        /** The caller waits to be welcomed. */
        PROVING,
        /** Both ends are proved. */
        READY
    }

    /**
     * Creates the handler; a node is expected at the other end if this end opens the connection.
     */
    LinkHandler(
            LinkSettings settings,
            Handshake handshake,
            LinkCounters counters,
            Events events,
            Optional<InstanceId> expected) {
        this.settings = settings;
        this.handshake = handshake;
        this.counters = counters;
        this.events = events;
        this.expected = expected;
    }

    /** Adds frames and this handler to a connection. */
    void install(ChannelPipeline pipeline) {
        pipeline.addLast(FRAMES, frames(HANDSHAKE_FRAME_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(this);
    }

    private static LengthFieldBasedFrameDecoder frames(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        heardNanos = System.nanoTime();
        RANDOM.nextBytes(nonce);
        if (expected.isEmpty()) {
            write(context, frame(Frame.Kind.CHALLENGE).setNonce(ByteString.copyFrom(nonce)));
        }
        context.executor()
                .schedule(
                        () -> giveUp(context),
                        settings.connectTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void giveUp(ChannelHandlerContext context) {
        if (state != State.READY) {
            context.close();
        }
    }

    private Frame.Builder frame(Frame.Kind kind) {
        return Frame.newBuilder().setVersion(VERSION).setKind(kind);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf data) {
        counters.receivedBytes.increment(data.readableBytes() + LENGTH_BYTES);
        heardNanos = System.nanoTime();
        try {
            Frame frame = Frame.parseFrom(ByteBufUtil.getBytes(data));
            if (frame.getVersion() < VERSION || !take(context, frame)) {
                malformed(context);
            }
        } catch (InvalidProtocolBufferException e) {
            malformed(context);
        }
    }

    private void malformed(ChannelHandlerContext context) {
        counters.malformed.increment();
        context.close();
    }

    private boolean take(ChannelHandlerContext context, Frame frame) {
        return switch (frame.getKind()) {
            case CHALLENGE -> challenged(context, frame);
            case HELLO -> greeted(context, frame);
            case WELCOME -> welcomed(context, frame);
            case PING -> state == State.READY && write(context, frame(Frame.Kind.PONG));
            case PONG -> state == State.READY;
            case DATA -> state == State.READY && deliver(frame);
            case UNRECOGNIZED -> state == State.READY;
        };
    }

    private boolean challenged(ChannelHandlerContext context, Frame frame) {
        if (expected.isEmpty() || state != State.AWAITING || !hasNonce(frame)) {
            return false;
        }
        theirNonce = frame.getNonce().toByteArray();
        state = State.PROVING;
        String to = expected.get().value();
        byte[] proof =
                handshake.proof(
                        Handshake.Side.CALLER, nonce, theirNonce, settings.self().value(), to);
        return write(
                context,
                frame(Frame.Kind.HELLO)
                        .setFrom(settings.self().value())
                        .setTo(to)
                        .setNonce(ByteString.copyFrom(nonce))
                        .setProof(ByteString.copyFrom(proof)));
    }

    private static boolean hasNonce(Frame frame) {
        return frame.getNonce().size() == Handshake.NONCE_BYTES;
    }

    private boolean greeted(ChannelHandlerContext context, Frame frame) {
        if (expected.isPresent() || state != State.AWAITING || !hasNonce(frame)) {
            return false;
        }
        theirNonce = frame.getNonce().toByteArray();
        String self = settings.self().value();
        byte[] proof =
                handshake.proof(
                        Handshake.Side.CALLER, theirNonce, nonce, frame.getFrom(), frame.getTo());
        boolean proved = Handshake.matches(proof, frame.getProof().toByteArray());
        boolean right = frame.getTo().equals(self) && !frame.getFrom().isBlank();
        if (!proved || !right || !events.listed(new InstanceId(frame.getFrom()))) {
            counters.refused.increment();
            context.close();
            return true;
        }
        byte[] answer =
                handshake.proof(Handshake.Side.LISTENER, theirNonce, nonce, self, frame.getFrom());
        write(
                context,
                frame(Frame.Kind.WELCOME).setFrom(self).setProof(ByteString.copyFrom(answer)));
        ready(context, new InstanceId(frame.getFrom()));
        return true;
    }

    private boolean welcomed(ChannelHandlerContext context, Frame frame) {
        if (state != State.PROVING) {
            return false;
        }
        InstanceId other = expected.orElseThrow();
        byte[] proof =
                handshake.proof(
                        Handshake.Side.LISTENER,
                        nonce,
                        theirNonce,
                        other.value(),
                        settings.self().value());
        if (!Handshake.matches(proof, frame.getProof().toByteArray())) {
            counters.refused.increment();
            context.close();
            return true;
        }
        ready(context, other);
        return true;
    }

    private void ready(ChannelHandlerContext context, InstanceId other) {
        state = State.READY;
        peer = other;
        counters.opened.increment();
        ChannelPipeline pipeline = context.pipeline();
        pipeline.replace(FRAMES, FRAMES, frames(settings.maxFrameBytes()));
        long period = settings.heartbeat().toNanos();
        heartbeats =
                Optional.of(
                        context.executor()
                                .scheduleAtFixedRate(
                                        () -> beat(context), period, period, TimeUnit.NANOSECONDS));
        events.ready(other, this, context);
    }

    private void beat(ChannelHandlerContext context) {
        long now = System.nanoTime();
        long silence = now - heardNanos;
        if (sentNanos <= heardNanos || silence < settings.heartbeat().toNanos()) {
            return;
        }
        if (silence > SILENT_HEARTBEATS * settings.heartbeat().toNanos()) {
            counters.silent.increment();
            context.close();
            return;
        }
        write(context, frame(Frame.Kind.PING));
    }

    private boolean deliver(Frame frame) {
        for (Topic topic : Topic.values()) {
            if (topic.number() == frame.getTopic()) {
                events.message(peer, topic, Bytes.wrap(frame.getPayload().toByteArray()));
            }
        }
        return true;
    }

    /** Sends a message; only on the thread of the connection. */
    void send(ChannelHandlerContext context, Topic topic, Bytes message) {
        write(
                context,
                frame(Frame.Kind.DATA)
                        .setTopic(topic.number())
                        .setPayload(ByteString.copyFrom(message.toArray())));
    }

    private boolean write(ChannelHandlerContext context, Frame.Builder frame) {
        byte[] bytes = frame.build().toByteArray();
        counters.sentBytes.increment(bytes.length + LENGTH_BYTES);
        sentNanos = System.nanoTime();
        context.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        return true;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (state == State.READY && context.channel().isWritable()) {
            events.writable(peer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        heartbeats.ifPresent(h -> h.cancel(false));
        Optional<InstanceId> other = Optional.ofNullable(peer);
        events.closed(other.or(() -> expected), context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof io.netty.handler.codec.DecoderException) {
            counters.malformed.increment();
        }
        context.close();
    }
}
