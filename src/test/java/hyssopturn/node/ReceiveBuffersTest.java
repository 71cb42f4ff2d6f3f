package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.MachineLimits;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** What the system holds of callers' bytes stays within what the machine has left for it. */
class ReceiveBuffersTest {
    private static final long MEGABYTE = 1L << 20;
    private static final int STEPS = 20_000;

    /** Bytes on their way at a time in calm: 1,000 Mbit/s for 2 ms. */
    private static final int FAST_LINK_BYTES = 250_000;

    @Property(tries = 50)
    void holdNoMoreThanTheLimitHoweverConnectionsComeAndGo(
            @ForAll int seed,
            @ForAll @IntRange(min = 26, max = 300) int megabytes,
            @ForAll @IntRange(min = 100, max = 3_000) int connections) {
        ReceiveBuffers buffers = new ReceiveBuffers(megabytes * MEGABYTE, connections);
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> open = new ArrayList<>();
        long held = 0;
        for (int i = 0; i < STEPS; i++) {
            boolean growing = random.nextInt(STEPS) < STEPS - i / 2;
            if (growing && open.size() < connections) {
                int size = buffers.next(open.size());
                open.add(size);
                held += (long) size * ReceiveBuffers.HELD_PER_BYTE;
            } else if (!open.isEmpty()) {
                int closed = open.remove(random.nextInt(open.size()));
                held -= (long) closed * ReceiveBuffers.HELD_PER_BYTE;
            }
            assertThat(held, lessThanOrEqualTo(megabytes * MEGABYTE));
        }
    }

    @Test
    void aFastCallerIsNotSlowedInCalm() {
        ProcessMemory memory = memory(430, 152, 42);
        ReceiveBuffers buffers = new ReceiveBuffers(memory.unreadBytes(), 2_380);
        int calm = buffers.next(10) * ReceiveBuffers.HELD_PER_BYTE;
        assertThat(calm, greaterThanOrEqualTo(FAST_LINK_BYTES));
    }

    @Test
    void theSystemHoldsWhatHeapDirectMemoryAndJvmLeave() {
        assertThat(memory(282, 100, 28).unreadBytes(), equalTo(58 * MEGABYTE));
    }

    private static ProcessMemory memory(int machine, int heap, int direct) {
        MachineLimits limits =
                new MachineLimits(OptionalLong.of(machine * MEGABYTE), OptionalInt.empty());
        return ProcessMemory.of(limits, heap * MEGABYTE, direct * MEGABYTE);
    }
}
