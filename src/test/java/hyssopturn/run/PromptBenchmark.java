package hyssopturn.run;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import java.util.concurrent.TimeUnit;

/** Cost of splitting a prompt. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class PromptBenchmark {
    private final String text = "how is Bella the donkey today ".repeat(40);

    /** Creates the benchmark. */
    public PromptBenchmark() {}

    /**
     * Splits a prompt of 240 words.
     *
     * @return the prompt
     */
    @Benchmark
    public Prompt split() {
        return Prompt.of(text);
    }
}
