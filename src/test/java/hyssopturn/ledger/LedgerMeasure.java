package hyssopturn.ledger;

import hyssopturn.model.AccountId;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Outcome;
import hyssopturn.port.Clock;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.VirtualClock;

import org.HdrHistogram.Histogram;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Prints what the ledger carries and what it costs; run by {@code config/measure}. */
public final class LedgerMeasure {
    private static final int APPENDS_PER_SECOND = 300;
    private static final Duration ONE_WAY = Duration.ofMillis(2);
    private static final Duration RUN = Duration.ofSeconds(10);
    private static final Duration CALL = Duration.ofMillis(40);
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final Bytes BODY = Bytes.utf8("{\"crate\":7,\"to\":\"Antigua\"}");
    private static final Bytes ANSWER = Bytes.utf8("{\"recorded\":1234567,\"crate\":7}");
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final long SEED = 5;

    private final VirtualClock clock = new VirtualClock(0);
    private final MemoryLog log = new MemoryLog(clock);
    private final List<LogLedger> ledgers = new ArrayList<>();
    private final Histogram micros = new Histogram(3);
    private final SplittableRandom random = new SplittableRandom(SEED);
    private int granted;
    private int other;

    private LedgerMeasure(int nodes) {
        for (int i = 0; i < nodes; i++) {
            LogLedger ledger =
                    new LogLedger(
                            "node-%d.0123456789abcdef01234567".formatted(i),
                            LedgerSettings.DEFAULT,
                            log,
                            clock,
                            new SplittableRandom(i));
            ledgers.add(ledger);
            ledger.start();
        }
        clock.advance(Duration.ofSeconds(1));
    }

    /**
     * Measures.
     *
     * @param args none
     */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.OFF);
        System.out.println("claims carried, log of 300 appends a second, 2 ms each way");
        for (int nodes : new int[] {1, 3, 7, 20, 60}) {
            for (int rate : new int[] {24, 500, 2_000}) {
                new LedgerMeasure(nodes).carried(nodes, rate);
            }
        }
        afterOutage();
        for (int keys : new int[] {50_000, 100_000, 200_000, 400_000}) {
            size(keys);
        }
    }

    private void carried(int nodes, int rate) {
        log.latency(ONE_WAY);
        log.appendRate(APPENDS_PER_SECOND);
        long appendsBefore = log.appends();
        long end = clock.nanos() + RUN.toNanos();
        for (int i = 0; clock.nanos() < end; i++) {
            claim(ledgers.get(random.nextInt(nodes)), "key-%08d-4f2a".formatted(i));
            double gap = -Math.log(1 - random.nextDouble()) / rate;
            clock.advance(Duration.ofNanos((long) (gap * Duration.ofSeconds(1).toNanos())));
        }
        long appends = log.appends() - appendsBefore;
        clock.advance(LIMIT.multipliedBy(2));
        print(
                "nodes=%d rate=%d granted/s=%.0f other=%d appends/s=%.0f p50=%.1fms p99=%.1fms"
                        + " max=%.1fms",
                nodes,
                rate,
                granted / (double) RUN.toSeconds(),
                other,
                appends / (double) RUN.toSeconds(),
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI);
    }

    private void claim(LogLedger ledger, String key) {
        long begin = clock.nanos();
        ledger.claim(key(key), BODY, LIMIT)
                .thenAccept(
                        ruling -> {
                            micros.recordValue((clock.nanos() - begin) / 1_000);
                            if (ruling instanceof Ruling.Granted grant) {
                                granted++;
                                clock.after(
                                        CALL,
                                        () -> ledger.settle(grant, AnswerEvent.End.done(), ANSWER));
                            } else {
                                other++;
                            }
                        });
    }

    private static CallKey key(String key) {
        return new CallKey(new AccountId("account-17"), new ClassName("shipment-booking"), key);
    }

    private static void afterOutage() {
        Histogram millis = new Histogram(3);
        for (int seed = 0; seed < 40; seed++) {
            LedgerMeasure run = new LedgerMeasure(7);
            run.log.latency(ONE_WAY);
            run.claim(run.ledgers.get(0), "before");
            run.clock.advance(Duration.ofSeconds(1));
            run.log.down(true);
            run.clock.advance(Duration.ofMinutes(2).plusMillis(37L * seed));
            run.log.down(false);
            long back = run.clock.nanos();
            for (int node = 0; node < 7; node++) {
                probe(run, node, back, millis);
            }
            run.clock.advance(Duration.ofSeconds(10));
        }
        print(
                "log back after 2 minutes: first grant p50=%dms p99=%dms max=%dms of %d nodes",
                millis.getValueAtPercentile(50),
                millis.getValueAtPercentile(99),
                millis.getMaxValue(),
                millis.getTotalCount());
    }

    private static void probe(LedgerMeasure run, int node, long back, Histogram millis) {
        Clock clock = run.clock;
        String name = "probe-" + node + "-" + clock.nanos();
        run.ledgers
                .get(node)
                .claim(key(name), BODY, LIMIT)
                .thenAccept(
                        ruling -> {
                            if (ruling instanceof Ruling.Granted) {
                                millis.recordValue((clock.nanos() - back) / 1_000_000);
                            } else {
                                clock.after(
                                        Duration.ofMillis(20),
                                        () -> probe(run, node, back, millis));
                            }
                        });
    }

    private static void size(int keys) {
        int group = 50;
        List<Bytes> records = new ArrayList<>();
        long claimBytes = 0;
        long outcomeBytes = 0;
        long sequence = 0;
        for (int i = 0; i < keys; i += group) {
            List<LedgerEntry> claims = new ArrayList<>();
            List<LedgerEntry> outcomes = new ArrayList<>();
            for (int k = i; k < i + group; k++) {
                CallKey key = key("key-%08d-4f2a".formatted(k));
                ClaimId claim = new ClaimId("node-1.0123456789abcdef01234567", k);
                Fingerprint body = Fingerprint.of(Bytes.utf8("body " + k));
                claims.add(LedgerEntry.Claimed.of(key, body, k, 1_700_000_000_000L + k));
                outcomes.add(
                        new LedgerEntry.Settled(
                                Fingerprint.of(key), body, claim, k, Outcome.DONE, ANSWER));
            }
            claimBytes += add(records, batch(++sequence, claims));
            outcomeBytes += add(records, batch(++sequence, outcomes));
        }
        long before = usedBytes();
        long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        LedgerFold fold = new LedgerFold(Duration.ofDays(1));
        long offset = 1;
        for (Bytes record : records) {
            fold.apply(offset++, BatchCodec.decode(record).orElseThrow());
        }
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore;
        long used = usedBytes() - before;
        print(
                "keys=%d records=%d log bytes a claim=%d an outcome=%d memory bytes a key=%d"
                        + " fold=%.2fs CPU a key=%.1fus",
                fold.size(),
                records.size(),
                claimBytes / keys,
                outcomeBytes / keys,
                used / keys,
                cpu / 1e9,
                cpu / 1e3 / keys);
    }

    private static Batch batch(long sequence, List<LedgerEntry> entries) {
        String author = "node-1.0123456789abcdef01234567";
        return new Batch(author, sequence, sequence, sequence, Optional.empty(), entries);
    }

    private static long add(List<Bytes> records, Batch batch) {
        Bytes data = BatchCodec.encode(batch);
        records.add(data);
        return data.size();
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
