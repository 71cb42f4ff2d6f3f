package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.port.RefusedException;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Log service in memory that fails on command. */
public final class MemoryLog implements LogService {
    private final Clock clock;
    private final Map<String, Stream> streams = new HashMap<>();
    private boolean down;
    private int answersToLose;
    private int readsToLose;
    private Duration latency = Duration.ZERO;
    private long serviceNanos;
    private long busyUntil;
    private long appends;

    /**
     * Creates an empty log.
     *
     * @param clock time
     */
    public MemoryLog(Clock clock) {
        this.clock = clock;
    }

    private static final class Stream {
        private final List<LogPage.Entry> entries = new ArrayList<>();
        private final List<Runnable> waiters = new ArrayList<>();
        private long first = 1;
        private long end = 1;
    }

    @Override
    public CompletableFuture<Long> append(String stream, Bytes data) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        later(() -> queue(() -> appendNow(stream, data, answer)));
        return answer;
    }

    private void queue(Runnable task) {
        long wait;
        synchronized (this) {
            long now = clock.nanos();
            busyUntil = Math.max(busyUntil, now) + serviceNanos;
            wait = busyUntil - now;
        }
        if (wait == 0) {
            task.run();
        } else {
            clock.after(Duration.ofNanos(wait), task);
        }
    }

    private void appendNow(String stream, Bytes data, CompletableFuture<Long> answer) {
        List<Runnable> wake = new ArrayList<>();
        long offset;
        boolean lose;
        synchronized (this) {
            if (down) {
                offset = 0;
                lose = false;
            } else {
                Stream target = streams.computeIfAbsent(stream, name -> new Stream());
                offset = target.end++;
                target.entries.add(new LogPage.Entry(offset, data));
                wake.addAll(target.waiters);
                target.waiters.clear();
                appends++;
                lose = answersToLose > 0;
                answersToLose -= lose ? 1 : 0;
            }
        }
        wake.forEach(Runnable::run);
        if (offset == 0) {
            answer.completeExceptionally(
                    new RefusedException(RefusedException.Reason.UNREACHABLE, "log is down"));
        } else if (lose) {
            answer.completeExceptionally(new InDoubtException("answer to append was lost"));
        } else {
            later(() -> answer.complete(offset));
        }
    }

    private void later(Runnable task) {
        Duration span;
        synchronized (this) {
            span = latency;
        }
        if (span.isZero()) {
            task.run();
        } else {
            clock.after(span, task);
        }
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
        CompletableFuture<LogPage> answer = new CompletableFuture<>();
        synchronized (this) {
            if (readsToLose > 0) {
                readsToLose--;
                return answer;
            }
        }
        later(() -> readNow(stream, from, max, wait, answer));
        return answer;
    }

    private void readNow(
            String stream, long from, int max, Duration wait, CompletableFuture<LogPage> answer) {
        LogPage page;
        synchronized (this) {
            if (down) {
                page = null;
            } else {
                Stream source = streams.computeIfAbsent(stream, name -> new Stream());
                page = page(source, from, max);
                if (page.records().isEmpty() && wait.isPositive()) {
                    source.waiters.add(() -> readNow(stream, from, max, Duration.ZERO, answer));
                    clock.after(wait, () -> readNow(stream, from, max, Duration.ZERO, answer));
                    return;
                }
            }
        }
        if (page == null) {
            answer.completeExceptionally(
                    new RefusedException(RefusedException.Reason.UNREACHABLE, "log is down"));
        } else {
            later(() -> answer.complete(page));
        }
    }

    private static LogPage page(Stream source, long from, int max) {
        long start = Math.max(from, source.first);
        int low = (int) Math.min(source.entries.size(), start - source.first);
        int high = Math.min(source.entries.size(), low + max);
        List<LogPage.Entry> part = source.entries.subList(low, high);
        long next = part.isEmpty() ? start : part.getLast().offset() + 1;
        return new LogPage(source.first, next, source.end, part);
    }

    /**
     * Takes the log down or brings it back.
     *
     * @param value true while it is down
     */
    public synchronized void down(boolean value) {
        down = value;
    }

    /**
     * Loses the answers of the next appends, which still take effect.
     *
     * @param count how many answers are lost
     */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Leaves the next reads without any answer.
     *
     * @param count how many reads
     */
    public synchronized void loseReads(int count) {
        readsToLose = count;
    }

    /**
     * Bounds the rate of appends; what comes faster waits in line.
     *
     * @param perSecond appends a second, 0 for no bound
     */
    public synchronized void appendRate(int perSecond) {
        serviceNanos = perSecond == 0 ? 0 : Duration.ofSeconds(1).toNanos() / perSecond;
    }

    /**
     * Delays every call and every answer.
     *
     * @param span delay each way
     */
    public synchronized void latency(Duration span) {
        latency = span;
    }

    /**
     * Drops old records of a stream.
     *
     * @param stream name of the stream
     * @param before first offset that is kept
     */
    public synchronized void truncate(String stream, long before) {
        Stream target = streams.computeIfAbsent(stream, name -> new Stream());
        target.entries.removeIf(entry -> entry.offset() < before);
        target.first = Math.max(target.first, Math.min(before, target.end));
    }

    /**
     * Returns the offset that the next append to a stream will get.
     *
     * @param stream name of the stream
     * @return the offset, from 1
     */
    public synchronized long end(String stream) {
        return streams.computeIfAbsent(stream, name -> new Stream()).end;
    }

    /**
     * Counts the appends that took effect.
     *
     * @return number of appends
     */
    public synchronized long appends() {
        return appends;
    }
}
