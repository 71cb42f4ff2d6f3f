package hyssopturn.admit;

import hyssopturn.model.WorkClass;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Time of an admission decision: one request arrives, one ends, one starts. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class AdmissionBenchmark {
    private static final int LIMIT = 1_000;
    private static final int CAPACITY = 1_000_000;
    private static final Admission.Usage USAGE =
            new Admission.Usage(true, 20, Duration.ofSeconds(1));

    /** Number of accounts. */
    @Param({"28000"})
    private int accounts;

    /** Number of waiting requests. */
    @Param({"100", "1000", "10000"})
    private int waiting;

    private final List<WorkClass> classes =
            List.of(
                    Tickets.stream("sheet", 60_000),
                    Tickets.stream("note", 40_000),
                    Tickets.stream("letter", 50_000));
    private final Deque<Ticket> running = new ArrayDeque<>();
    private Pool pool;
    private long number;
    private long now;

    /** Creates the benchmark. */
    public AdmissionBenchmark() {}

    /** Fills the queue. */
    @Setup
    public void fill() {
        pool = new Pool(new AdmitSettings(Policy.FAIR, LimitKind.FIXED, LIMIT, LIMIT, CAPACITY));
        for (int i = 0; i < LIMIT + waiting; i++) {
            offer();
        }
    }

    private void offer() {
        now += 1_000;
        String account = "account-" + number * 7_919 % accounts;
        WorkClass workClass = classes.get((int) (number % classes.size()));
        number++;
        addStarted(pool.offer(pool.newTicket(Tickets.request(account, workClass, 20, now)), now));
    }

    private void addStarted(List<Decision> decisions) {
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Start(Ticket ticket)) {
                running.add(ticket);
            }
        }
    }

    /**
     * Offers a request, ends one and starts the next.
     *
     * @return number of waiting requests
     */
    @Benchmark
    public int decide() {
        offer();
        addStarted(pool.release(running.remove(), USAGE, now));
        return pool.waiting();
    }
}
