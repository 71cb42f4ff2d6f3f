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
 * Writes events as JSON lines, in a thread of its own.
 *
 * <p>Recording never blocks: an event that finds the queue full, or the second's allowance used up,
 * is left out and counted, and a line says how many were. Nobody has to read the output.
 */
public final class TraceLog implements AutoCloseable {
    /** Lines that wait for the writer. */
    private static final int QUEUE = 4_096;

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
    private long second;
    private int written;
    private long dropped;
    private volatile boolean closed;

    /**
     * Creates a log that nothing else observes, and starts its writer.
     *
     * @param node name of this process in each line
     * @param clock time
     * @param out where lines go
     * @param linesPerSecond greatest number of lines in a second
     */
    public TraceLog(String node, Clock clock, OutputStream out, int linesPerSecond) {
        this(node, clock, out, linesPerSecond, event -> {});
    }

    /**
     * Creates the log and starts its writer.
     *
     * @param node name of this process in each line
     * @param clock time
     * @param out where lines go
     * @param linesPerSecond greatest number of lines in a second
     * @param observer gets every event, also those that are left out
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
            if (now != second) {
                second = now;
                written = 0;
                tellDropped();
            }
            if (written >= linesPerSecond || queue.size() >= QUEUE) {
                dropped++;
                return;
            }
            written++;
            queue.add(line(event));
        }
    }

    private void tellDropped() {
        if (dropped > 0 && queue.size() < QUEUE) {
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
            throw new IllegalStateException("event has no JSON form", e);
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
            // nothing reads the output any more, so there is nowhere to say so
            closed = true;
        }
    }

    private static byte[] concat(byte[][] lines) {
        int size = 0;
        for (byte[] line : lines) {
            size += line.length;
        }
        byte[] all = new byte[size];
        int at = 0;
        for (byte[] line : lines) {
            System.arraycopy(line, 0, all, at, line.length);
            at += line.length;
        }
        return all;
    }

    /** Writes what waits and stops the writer. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        flush();
    }
}
