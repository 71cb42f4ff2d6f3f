package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.port.RefusedException;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Clock and log of one simulated process, which can be paused, cut off from the log and killed. */
public final class Suspendable implements Clock, LogService {
    private final Clock clock;
    private final LogService log;
    private final double rate;
    private final Deque<Runnable> parked = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;
    private boolean cut;

    /**
     * Creates a process that runs.
     *
     * @param clock true time
     * @param log the log
     * @param rate how fast the clock of the process runs
     */
    public Suspendable(Clock clock, LogService log, double rate) {
        this.clock = clock;
        this.log = log;
        this.rate = rate;
    }

    /** Stops the process; what reaches it waits. */
    public void pause() {
        paused = true;
    }

    /** Lets the process go on. */
    public void wake() {
        paused = false;
        while (!paused && !parked.isEmpty()) {
            parked.poll().run();
        }
    }

    /** Ends the process. */
    public void kill() {
        killed = true;
        parked.clear();
    }

    /** Cuts the process off from the log, or joins it again. */
    public void cut(boolean value) {
        cut = value;
    }

    /** Tells whether the process is neither paused nor killed. */
    public boolean running() {
        return !paused && !killed;
    }

    /** Runs something as the process. */
    public void run(Runnable task) {
        if (killed) {
            return;
        }
        if (paused) {
            parked.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public long nanos() {
        return (long) (clock.nanos() * rate);
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        return clock.after(Duration.ofNanos((long) (delay.toNanos() / rate)), () -> run(task));
    }

    @Override
    public CompletableFuture<Long> append(String stream, Bytes data) {
        return call(() -> log.append(stream, data));
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
        return call(() -> log.read(stream, from, max, wait));
    }

    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (cut) {
            answer.completeExceptionally(
                    new RefusedException(RefusedException.Reason.UNREACHABLE, "cut off"));
            return answer;
        }
        call.get().whenComplete((value, error) -> run(() -> complete(answer, value, error)));
        return answer;
    }

    private <T> void complete(CompletableFuture<T> answer, T value, Throwable error) {
        if (cut) {
            answer.completeExceptionally(new hyssopturn.port.InDoubtException("cut off"));
        } else if (error != null) {
            answer.completeExceptionally(error);
        } else {
            answer.complete(value);
        }
    }
}
