package hyssopturn.bench;

import hyssopturn.ledger.CallKey;
import hyssopturn.ledger.LedgerSettings;
import hyssopturn.ledger.LogLedger;
import hyssopturn.ledger.Ruling;
import hyssopturn.model.AccountId;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Slopes of the ledger: one writes calls, another reads them as every node does. */
final class LedgerSlopes {
    private static final Duration LIMIT = Duration.ofMinutes(1);
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final Bytes ANSWER = Bytes.utf8("{\"recorded\":4711,\"crate\":7}");

    private LedgerSlopes() {}

    static List<Slopes.Measurement> all() {
        return List.of(LedgerSlopes::state, LedgerSlopes::time, LedgerSlopes::logBytes);
    }

    private static Slope state() {
        return Slopes.measure(
                "ledger",
                "keys kept",
                "bytes",
                n -> {
                    Written written = written((int) n);
                    return Usage.heldBytes(() -> reader(written));
                },
                2_000,
                4_000,
                8_000);
    }

    private static Slope time() {
        return Slopes.measure(
                "ledger",
                "calls read from the log",
                "µs of CPU",
                n -> {
                    Written written = written((int) n);
                    return Usage.cpuMicros(() -> reader(written));
                },
                4_000,
                8_000,
                16_000);
    }

    private static Slope logBytes() {
        return Slopes.measure(
                "ledger",
                "calls written",
                "bytes of log",
                n -> written((int) n).bytes(),
                2_000,
                4_000,
                8_000);
    }

    /** A log with calls in it. */
    private record Written(VirtualClock clock, MemoryLog log) {
        long bytes() {
            return log
                    .read(LogLedger.STREAM, 1, Integer.MAX_VALUE, Duration.ZERO)
                    .join()
                    .records()
                    .stream()
                    .mapToLong(e -> e.data().size())
                    .sum();
        }
    }

    private static Written written(int calls) {
        VirtualClock clock = new VirtualClock(0);
        MemoryLog log = new MemoryLog(clock);
        LogLedger writer = ledger("writer", log, clock);
        writer.start();
        clock.advance(SETTLE);
        List<CompletableFuture<Ruling>> rulings =
                IntStream.range(0, calls)
                        .mapToObj(i -> writer.claim(key(i), ANSWER, LIMIT))
                        .toList();
        clock.advance(SETTLE);
        rulings.forEach(r -> writer.settle((Ruling.Granted) r.getNow(null), End.done(), ANSWER));
        clock.advance(SETTLE);
        writer.stop();
        return copy(log);
    }

    /** Copies the records alone, so that nothing of their writer stays reachable. */
    private static Written copy(MemoryLog log) {
        VirtualClock clock = new VirtualClock(0);
        MemoryLog copy = new MemoryLog(clock);
        log.read(LogLedger.STREAM, 1, Integer.MAX_VALUE, Duration.ZERO)
                .join()
                .records()
                .forEach(e -> copy.append(LogLedger.STREAM, e.data()).join());
        return new Written(clock, copy);
    }

    private static CallKey key(int number) {
        return new CallKey(
                new AccountId("account-" + number % 28_000),
                new ClassName("shipment-booking"),
                "crate-" + number);
    }

    private static LogLedger reader(Written written) {
        LogLedger reader = ledger("reader", written.log(), written.clock());
        reader.start();
        written.clock().advance(SETTLE);
        if (!reader.ready()) {
            throw new IllegalStateException("the ledger was not read whole");
        }
        return reader;
    }

    private static LogLedger ledger(String author, MemoryLog log, VirtualClock clock) {
        return new LogLedger(author, LedgerSettings.DEFAULT, log, clock, new SplittableRandom(1));
    }
}
