package hyssopturn.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.port.Clock;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Writes events as JSON lines on a thread of its own.
 *
 * <p>Recording never blocks, even if nothing reads the output. An event is dropped and counted if
 * the queue is full or the limit of lines per second is reached; a later line reports the number of
 * dropped events.
 */
public final class TraceLog implements AutoCloseable {
    /** Greatest number of lines that wait for the writer. */
    private static final int QUEUE_CAPACITY = 4_096;

    private static final Duration FLUSH_INTERVAL = Duration.ofMillis(250);
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long MILLI_NANOS = 1_000_000;

    private final String node;
    private final Clock clock;
    private final OutputStream out;
    private final int linesPerSecond;
    private final Consumer<TraceEvent> observer;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Queue<byte[]> queue = new ArrayDeque<>();
    private final Thread writer;
    private long currentSecond;
    private int linesThisSecond;
    private long dropped;
    private volatile boolean closed;

    /**
     * Creates a log without an observer and starts its writer.
     *
     * @param node name of this process in each line
     * @param clock clock of the time stamps
     * @param out stream that lines are written to
     * @param linesPerSecond greatest number of lines in a second
     */
    public TraceLog(String node, Clock clock, OutputStream out, int linesPerSecond) {
        this(node, clock, out, linesPerSecond, event -> {});
    }

    /**
     * Creates the log and starts its writer.
     *
     * @param node name of this process in each line
     * @param clock clock of the time stamps
     * @param out stream that lines are written to
     * @param linesPerSecond greatest number of lines in a second
     * @param observer receives every event, also those that are dropped
     */
    public TraceLog(
            String node,
            Clock clock,
            OutputStream out,
            int linesPerSecond,
            Consumer<TraceEvent> observer) {
        this.observer = observer;
        this.node = node;
        this.clock = clock;
        this.out = out;
        this.linesPerSecond = linesPerSecond;
        writer = Thread.ofPlatform().daemon().name("trace").start(this::write);
    }

    /**
     * Records an event.
     *
     * @param event the event
     */
    public void record(TraceEvent event) {
        observer.accept(event);
        synchronized (queue) {
            long now = clock.nanos() / SECOND_NANOS;
            if (now != currentSecond) {
                currentSecond = now;
                linesThisSecond = 0;
                reportDropped();
            }
            if (linesThisSecond >= linesPerSecond || queue.size() >= QUEUE_CAPACITY) {
                dropped++;
                return;
            }
            linesThisSecond++;
            queue.add(line(event));
        }
    }

    private void reportDropped() {
        if (dropped > 0 && queue.size() < QUEUE_CAPACITY) {
            queue.add(line(new TraceEvent.Dropped(dropped)));
            dropped = 0;
        }
    }

    private byte[] line(TraceEvent event) {
        ObjectNode line = mapper.createObjectNode();
        line.put("wall_ms", clock.wallMillis());
        line.put("up_ms", clock.nanos() / MILLI_NANOS);
        line.put("node", node);
        line.put("event", event.getClass().getSimpleName());
        line.setAll((ObjectNode) mapper.valueToTree(event));
        try {
            return (mapper.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("event cannot be encoded as JSON", e);
        }
    }

    private void write() {
        while (!closed) {
            LockSupport.parkNanos(FLUSH_INTERVAL.toNanos());
            flush();
        }
    }

    private void flush() {
        byte[][] lines;
        synchronized (queue) {
            lines = queue.toArray(byte[][]::new);
            queue.clear();
        }
        if (lines.length == 0) {
            return;
        }
        try {
            out.write(concat(lines));
            out.flush();
        } catch (IOException e) {
            // the output is broken, so the error cannot be logged either
            closed = true;
        }
    }

    private static byte[] concat(byte[][] lines) {
        int size = 0;
        for (byte[] line : lines) {
            size += line.length;
        }
        byte[] all = new byte[size];
        int position = 0;
        for (byte[] line : lines) {
            System.arraycopy(line, 0, all, position, line.length);
            position += line.length;
        }
        return all;
    }

    /** Writes the waiting lines and stops the writer. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        flush();
    }
}
