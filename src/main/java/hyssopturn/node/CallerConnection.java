package hyssopturn.node;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.port.Clock;
import hyssopturn.relay.ReadPacer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Supplier;

/**
 * Applies the timeouts and the memory limits of a caller's connection.
 *
 * <p>Vert.x fixes the idle timeout of a server when it starts to listen, and reports no request
 * before its head is complete. So the connection is watched in Netty's pipeline: its bytes before
 * they are decoded, and the messages between codec and Vert.x.
 *
 * <p>A request that follows another one on the connection is decoded no further than its first
 * message until the answer to the first one has been sent.
 */
final class CallerConnection implements CallerTimeouts.Connection {
    /** Memory of a connection on which nothing happens, in bytes. */
    private static final long CONNECTION_BYTES = 8_192;

    /** Bytes of a head or chunk that are decoded before their memory is counted. */
    private static final int SLICE_BYTES = 2_048;

    /** Size of requests behind an unanswered one from which no more is read, in bytes. */
    private static final int MAX_WAITING_BYTES = 8_192;

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 32_768;

    /** Rate below which a caller that sends a request counts as late, in bytes per second. */
    private static final long SLOW_BYTES_PER_SECOND = 4_096;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static final String VERTX_HANDLER = "handler";

    private final Channel channel;
    private final Clock clock;
    private final Supplier<CallerLimits> limits;
    private final CallerConnections connections;
    private final CallerTimeouts timeouts;
    private final HttpRequestDecoder decoder;
    private final ReadPacer pacer;
    private final MemoryPart memory;
    private final HeadMemory head = new HeadMemory();
    private final ReadSwitch reading = new ReadSwitch();
    private final UnsentBytes unsent;
    private final ChunkMerger merger = new ChunkMerger();
    private final Queue<Object> heldMessages = new ArrayDeque<>();
    private ChannelHandlerContext bytesContext;
    private ChannelHandlerContext messageContext;
    private Optional<Clock.Timer> endTimer = Optional.empty();
    private ByteBuf waiting = Unpooled.EMPTY_BUFFER;
    private boolean requestCounted;
    private boolean answerDue;
    private boolean decoding;
    private boolean messageSeen;
    private boolean ended;
    private boolean undecoded;
    private boolean restRefused;
    private boolean paced;
    private long bodyLeft;
    private long unsentCost;
    private long requestBytes;
    private long requestBegunNanos;
    private long progressNanos;

    private CallerConnection(
            Channel channel,
            Clock clock,
            Supplier<CallerLimits> limits,
            CallerConnections connections) {
        this.channel = channel;
        this.clock = clock;
        this.limits = limits;
        this.connections = connections;
        memory = new MemoryPart(connections.memory());
        decoder = channel.pipeline().get(HttpRequestDecoder.class);
        pacer = new ReadPacer(clock, () -> paced = true, this::withinRate);
        progressNanos = clock.nanos();
        unsent = new UnsentBytes(connections.writeMemory(), () -> progressNanos = clock.nanos());
        timeouts = new CallerTimeouts(clock, limits, this);
    }

    /**
     * Watches a new connection.
     *
     * @param channel channel of the connection, whose pipeline is complete
     * @param clock clock and timer of the channel's event loop
     * @param limits returns the limits in force
     * @param connections all connections of callers
     */
    static void watch(
            Channel channel,
            Clock clock,
            Supplier<CallerLimits> limits,
            CallerConnections connections) {
        CallerConnection connection = new CallerConnection(channel, clock, limits, connections);
        ChannelPipeline pipeline = channel.pipeline();
        ByteHandler bytes = connection.new ByteHandler();
        pipeline.addFirst(connection.unsent, bytes);
        pipeline.addBefore(VERTX_HANDLER, null, connection.new MessageHandler());
        connection.bytesContext = pipeline.context(bytes);
        connection.messageContext = pipeline.context(MessageHandler.class);
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(UnsentBytes.LOW_BYTES, UnsentBytes.HIGH_BYTES));
        connections.add(connection, channel);
        channel.closeFuture().addListener(closed -> connection.closed());
        connection.occupy();
    }

    private void closed() {
        timeouts.closed();
        endTimer.ifPresent(Clock.Timer::cancel);
        ended = true;
        uncountRequest();
        merger.discard();
        discardWaiting();
        // the decoder keeps its state until the events of the closed connection have been handled
        if (!channel.eventLoop().isShuttingDown()) {
            channel.eventLoop().execute(memory::release);
        }
    }

    /**
     * Counts a request that is complete, from when on it may need connections to endpoints; returns
     * false if it is refused. One that has its answer already needs none.
     */
    private boolean countRequest() {
        if (!timeouts.answerPending()) {
            return true;
        }
        if (!connections.beginRequest()) {
            refuse(RawAnswer.UNAVAILABLE, "requests");
            return false;
        }
        requestCounted = true;
        return true;
    }

    private void uncountRequest() {
        if (requestCounted) {
            requestCounted = false;
            connections.endRequest();
        }
    }

    private void discardWaiting() {
        waiting = Unpooled.EMPTY_BUFFER;
        heldMessages.forEach(ReferenceCountUtil::release);
        heldMessages.clear();
    }

    private long occupied() {
        return CONNECTION_BYTES + head.bytes() + unsentCost + waiting.capacity();
    }

    /** Counts the memory of this connection, which exists already. */
    private void occupy() {
        if (!ended) {
            memory.set(occupied());
        }
    }

    /** Counts the memory of this connection; returns false if it does not fit. */
    private boolean acquire() {
        return !ended && memory.acquire(occupied());
    }

    /** Returns what the connection waits for. */
    CallerState state() {
        if (ended) {
            return CallerState.UNREAD;
        }
        if (timeouts.answerAwaited()) {
            return CallerState.BUSY;
        }
        if (timeouts.requestIncomplete()) {
            return CallerState.INCOMPLETE;
        }
        return timeouts.requestOpen() ? CallerState.UNREAD : CallerState.IDLE;
    }

    /** Returns for how long the caller is idle, or later than a slow one would be. */
    long lagNanos(long now) {
        return switch (state()) {
            case BUSY -> 0;
            case UNREAD -> now - progressNanos;
            case IDLE -> now - timeouts.silentSinceNanos();
            case INCOMPLETE ->
                    Math.max(
                            now - timeouts.silentSinceNanos(),
                            now
                                    - requestBegunNanos
                                    - requestBytes * NANOS_PER_SECOND / SLOW_BYTES_PER_SECOND);
        };
    }

    /**
     * Closes the connection, on which no request is run, so that others are served. One that is
     * being ended, but whose caller does not read its last answer, is closed at once.
     *
     * @return number of bytes that are released soon
     */
    long closeForOthers(String cause) {
        connections.closedFor(cause);
        if (!ended
                && state() == CallerState.INCOMPLETE
                && unsent.isEmpty()
                && !timeouts.bodyAnswered()) {
            end(RawAnswer.TIMEOUT);
        } else {
            close();
        }
        return memory.bytes();
    }

    /**
     * Closes the connection at once. Vert.x, which sees the close of a channel first, would close
     * it when its caller has read all that was written, so this begins below it.
     */
    @Override
    public void close() {
        ended = true;
        bytesContext.close();
    }

    @Override
    public void answerHeadTimeout() {
        end(RawAnswer.TIMEOUT);
    }

    private void refuse(RawAnswer answer, String cause) {
        connections.closedFor(cause);
        end(answer);
    }

    /** Sends an answer that promises that the request has not run, and closes the connection. */
    private void end(RawAnswer answer) {
        ended = true;
        progressNanos = clock.nanos();
        endTimer = Optional.of(clock.after(CallerTimeouts.UNREAD_ANSWER_TIMEOUT, this::close));
        bytesContext.writeAndFlush(answer.bytes()).addListener(sent -> close());
    }

    @Override
    public long unsentBytes() {
        return unsent.count();
    }

    private void withinRate() {
        paced = false;
        readOn();
    }

    private void readOn() {
        if (!paced && waiting.readableBytes() < MAX_WAITING_BYTES) {
            reading.resume(bytesContext);
        }
    }

    /** Keeps bytes that follow a request without an answer. */
    private void keep(ByteBuf bytes) {
        if (restRefused) {
            return;
        }
        if (!waiting.isReadable()) {
            waiting = Unpooled.buffer(bytes.readableBytes());
        }
        waiting.writeBytes(bytes);
        if (!acquire()) {
            restRefused = true;
            discardWaiting();
        }
    }

    /** Decodes bytes until a request is complete that has no answer yet, and keeps the others. */
    private void decode(ByteBuf bytes) {
        while (bytes.isReadable() && !ended) {
            if (answerDue) {
                keep(bytes);
                return;
            }
            decodePiece(bytes);
        }
    }

    private void decodePiece(ByteBuf bytes) {
        if (bodyLeft > 0) {
            int size = (int) Math.min(bytes.readableBytes(), bodyLeft);
            bytesContext.fireChannelRead(bytes.readRetainedSlice(size));
            head.bodyPassed();
            return;
        }
        int size = Math.min(bytes.readableBytes(), SLICE_BYTES);
        int lines = Pieces.lines(bytes, size);
        head.add(lines, size);
        if (!acquire()) {
            refuseOpen(RawAnswer.UNAVAILABLE, "memory");
            return;
        }
        messageSeen = false;
        bytesContext.fireChannelRead(Pieces.take(bytes, size));
        if (!ended) {
            pieceDecoded(lines, size);
        }
    }

    /** Counts what is complete, and bounds the lines of a section that is incomplete. */
    private void pieceDecoded(int lines, int size) {
        if (messageSeen) {
            head.messageCompleted(lines, size);
            occupy();
        } else if (head.exceeds(limits.get().headerBytes())) {
            refuseOpen(RawAnswer.TOO_LARGE, "lines");
        }
    }

    /** Refuses an incomplete request, which may have its answer already. */
    private void refuseOpen(RawAnswer answer, String cause) {
        if (ended) {
            return;
        }
        if (timeouts.bodyAnswered()) {
            connections.closedFor(cause);
            close();
        } else {
            refuse(answer, cause);
        }
    }

    /** Goes on with what follows requests whose answers have been sent. */
    private void decodeWaiting() {
        if (decoding) {
            return;
        }
        decoding = true;
        while (mayDecodeWaiting()) {
            decodeNext();
            bytesContext.fireChannelReadComplete();
        }
        decoding = false;
        if (!ended) {
            readOn();
        }
    }

    private boolean mayDecodeWaiting() {
        boolean some = restRefused || undecoded || !heldMessages.isEmpty() || waiting.isReadable();
        return some && !answerDue && !ended;
    }

    private void decodeNext() {
        if (restRefused) {
            refuse(RawAnswer.UNAVAILABLE, "memory");
            return;
        }
        while (!answerDue && !ended && !heldMessages.isEmpty()) {
            undecoded = true;
            readMessage(heldMessages.remove());
        }
        if (undecoded && !answerDue) {
            undecoded = false;
            bytesContext.fireChannelRead(Unpooled.EMPTY_BUFFER);
        }
        if (!answerDue && waiting.isReadable()) {
            ByteBuf bytes = waiting;
            waiting = Unpooled.EMPTY_BUFFER;
            decode(bytes);
            occupy();
        }
    }

    /** Passes a message of the caller on, if it may be. */
    private void readMessage(Object message) {
        messageSeen = true;
        if (ended) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest request && !beginRequest(request)) {
            return;
        }
        if (message instanceof LastHttpContent last) {
            if (countRequest()) {
                endRequest(last);
            } else {
                last.release();
            }
        } else if (message instanceof HttpContent chunk) {
            int size = chunk.content().readableBytes();
            bodyLeft = Math.max(0, bodyLeft - size);
            pacer.read(1, size);
            merger.read(messageContext, chunk);
        } else {
            messageContext.fireChannelRead(message);
        }
    }

    /** Counts the memory of a head; returns false if the request is refused. */
    private boolean beginRequest(HttpRequest request) {
        timeouts.headCompleted();
        head.headCompleted(request.headers());
        if (!acquire()) {
            refuse(RawAnswer.UNAVAILABLE, "memory");
            return false;
        }
        boolean announced =
                request.decoderResult().isSuccess() && !HttpUtil.isTransferEncodingChunked(request);
        bodyLeft = announced ? HttpUtil.getContentLength(request, 0L) : 0;
        return true;
    }

    private void endRequest(LastHttpContent last) {
        merger.flush(messageContext);
        timeouts.bodyCompleted();
        bodyLeft = 0;
        if (timeouts.requestOpen()) {
            answerDue = true;
            decoder.setSingleDecode(true);
        } else {
            head.requestEnded();
        }
        messageContext.fireChannelRead(last);
    }

    private void answerSent(boolean success) {
        timeouts.answerSent();
        if (!success || timeouts.requestOpen()) {
            return;
        }
        unsentCost = 0;
        uncountRequest();
        if (answerDue) {
            head.requestEnded();
            answerDue = false;
            decoder.setSingleDecode(false);
        }
        occupy();
        if (mayDecodeWaiting()) {
            decodeWaiting();
        }
    }

    /** Sees the bytes that arrive, and drops them once the connection is being closed. */
    private final class ByteHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!(message instanceof ByteBuf bytes)) {
                context.fireChannelRead(message);
                return;
            }
            try {
                read(bytes);
            } finally {
                bytes.release();
            }
        }

        private void read(ByteBuf bytes) {
            if (ended) {
                return;
            }
            boolean begun = timeouts.requestIncomplete();
            timeouts.bytesRead();
            if (!begun) {
                requestBegunNanos = timeouts.silentSinceNanos();
                requestBytes = 0;
            }
            requestBytes += bytes.readableBytes();
            if (answerDue || undecoded || waiting.isReadable() || decoding) {
                keep(bytes);
                return;
            }
            decoding = true;
            decode(bytes);
            decoding = false;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            decoding = true;
            context.fireChannelReadComplete();
            decoding = false;
            timeouts.readCompleted();
            if (mayDecodeWaiting()) {
                decodeWaiting();
            }
            if (paced || waiting.readableBytes() >= MAX_WAITING_BYTES) {
                reading.stop(context);
            }
        }

        @Override
        public void read(ChannelHandlerContext context) {
            if (!reading.stopped()) {
                context.read();
            }
        }
    }

    /** Sees the messages that arrive and are sent. */
    private final class MessageHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (answerDue) {
                messageSeen = true;
                heldMessages.add(message);
            } else {
                readMessage(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            merger.flush(context);
            context.fireChannelReadComplete();
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (!endsAnswer(message)) {
                context.write(message, promise);
                return;
            }
            ChannelPromise sent = promise.unvoid();
            timeouts.answerWritten();
            progressNanos = clock.nanos();
            sent.addListener(done -> answerSent(done.isSuccess()));
            context.write(message, sent);
            unsentCost = unsentBytes();
            occupy();
        }
    }

    private static boolean endsAnswer(Object message) {
        return message instanceof LastHttpContent
                && !(message instanceof HttpResponse response
                        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL);
    }
}
