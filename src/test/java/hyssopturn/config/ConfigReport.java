package hyssopturn.config;

import hyssopturn.model.Bytes;
import hyssopturn.port.LogPage;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.Suspendable;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.HdrHistogram.Histogram;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Prints what the fold costs by size of the document, and how soon many nodes run a document. */
final class ConfigReport {
    private static final int RUNS = 50;
    private static final int PUBLICATIONS = 40;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Seal SEAL = new Seal("secret");

    private ConfigReport() {}

    /**
     * Prints everything.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        for (int classes : List.of(4, 16, 64, 256)) {
            fold(classes);
        }
        for (int nodes : List.of(7, 50, 400)) {
            inForce(nodes);
        }
    }

    private static String document(int classes) {
        StringBuilder text = new StringBuilder("format: 1\nclasses:\n");
        for (int i = 0; i < classes; i++) {
            text.append("  class-%03d: {service: dispatch, answer: %ds}%n".formatted(i, i + 1));
        }
        return text.toString();
    }

    private static void fold(int classes) {
        String text = document(classes);
        ConfigFold fold = new ConfigFold(SEAL);
        FoldState state = FoldState.INITIAL;
        long offset = 0;
        for (int i = 0; i < RUNS; i++) {
            state = next(fold, state, ++offset, text);
        }
        long start = System.nanoTime();
        for (int i = 0; i < RUNS; i++) {
            state = next(fold, state, ++offset, text);
        }
        double millis = (System.nanoTime() - start) / NANOS_PER_MILLI / RUNS;
        Bytes record = new ConfigRecord.Publication("p", 0, text).encode();
        System.out.printf(
                "fold classes=%d record-bytes=%d ms=%.2f state-bytes=%d%n",
                classes, record.size(), millis, stateBytes(text));
    }

    private static FoldState next(ConfigFold fold, FoldState state, long offset, String text) {
        Bytes record = new ConfigRecord.Publication("p-" + offset, state.version(), text).encode();
        return fold.apply(state, new LogPage.Entry(offset, record)).state();
    }

    /** Measures the heap that the states of many readers take. */
    private static long stateBytes(String text) {
        int readers = 200;
        List<FoldState> states = new ArrayList<>();
        long before = usedBytes();
        for (int i = 0; i < readers; i++) {
            String own = text + "# reader " + i + "\n";
            states.add(next(new ConfigFold(SEAL), FoldState.INITIAL, 1, own));
        }
        long after = usedBytes();
        return (after - before) / states.size();
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Publishes under virtual time with 10 ms to the log; fold costs are real and not in it. */
    private static void inForce(int count) {
        VirtualClock clock = new VirtualClock(0);
        MemoryLog log = new MemoryLog(clock);
        log.latency(Duration.ofMillis(10));
        Histogram times = new Histogram(3);
        long[] published = {0};
        for (int i = 0; i < count; i++) {
            Suspendable process = new Suspendable(clock, log, 1);
            ConfigController node =
                    new ConfigController(process, process, SEAL, new SimpleMeterRegistry());
            node.listen(c -> times.recordValue(clock.nanos() - published[0]));
            node.start();
        }
        for (int i = 0; i < PUBLICATIONS; i++) {
            clock.advance(Duration.ofMillis(2_717));
            published[0] = clock.nanos();
            Publisher.publish(
                    log,
                    clock,
                    SEAL,
                    "p-" + i,
                    document(4),
                    OptionalLong.empty(),
                    Duration.ofSeconds(5));
        }
        clock.advance(Duration.ofSeconds(5));
        System.out.printf(
                "in-force nodes=%d samples=%d median-ms=%.1f max-ms=%.1f%n",
                count,
                times.getTotalCount(),
                times.getValueAtPercentile(50) / NANOS_PER_MILLI,
                times.getMaxValue() / NANOS_PER_MILLI);
    }
}
