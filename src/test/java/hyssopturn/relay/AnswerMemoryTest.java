package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

class AnswerMemoryTest {
    private static final long LIMIT = 1_000;

    private final AnswerMemory memory = new AnswerMemory(LIMIT);
    private final List<String> discarded = new ArrayList<>();

    /** Guards against endless answers that displace those of usual size. */
    @Test
    void largestAnswerIsDiscardedAtTheLimit() {
        hold("small", 100);
        hold("endless", 600);
        hold("usual", 200);
        assertThat(discarded, empty());
        hold("late", 150);
        assertThat(discarded, contains("endless"));
        assertThat(memory.heldBytes(), equalTo(450L));
    }

    @Test
    void answerThatExceedsTheLimitByItselfIsDiscarded() {
        hold("a", LIMIT + 1);
        assertThat(discarded, contains("a"));
        assertThat(memory.heldBytes(), equalTo(0L));
    }

    @Test
    void releasedAnswerIsNotCountedAndNotDiscarded() {
        AnswerMemory.Holding released = hold("a", LIMIT);
        released.release();
        released.release();
        released.resize(LIMIT);
        assertThat(memory.heldBytes(), equalTo(0L));
        hold("b", LIMIT);
        assertThat(discarded, empty());
    }

    private AnswerMemory.Holding hold(String name, long bytes) {
        AnswerMemory.Holding holding = memory.hold(() -> discarded.add(name));
        holding.resize(bytes);
        return holding;
    }
}
