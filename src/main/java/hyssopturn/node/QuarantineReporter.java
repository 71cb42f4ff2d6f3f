package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.fleet.FaultReport;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.QuarantineRecord;
import hyssopturn.quarantine.QuarantineReport;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Publishes what this node finds out about parts of prompts, and applies what others publish. */
final class QuarantineReporter implements Consumer<QuarantineReport> {
    /** Maximum random delay before parts are published as sound; usually one node does so. */
    static final Duration MAX_PARTS_DELAY = Duration.ofMillis(80);

    /** Age above which a stored report is ignored. */
    static final Duration MAX_AGE = Duration.ofMinutes(10);

    /** Time until a report that could not be written is written again. */
    static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final int MAX_APPENDS_PER_WINDOW = 10;
    private static final int MAX_APPEND_ATTEMPTS = 3;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final KeyedLog log;
    private final Clock clock;
    private final TraceLog trace;
    private final String node;
    private final RandomGenerator random;
    private final Set<String> begun = new LinkedHashSet<>();
    private final Set<String> known = new LinkedHashSet<>();
    private long windowNanos = Long.MIN_VALUE;
    private int appends;

    QuarantineReporter(
            KeyedLog log, Clock clock, TraceLog trace, String node, RandomGenerator random) {
        this.log = log;
        this.clock = clock;
        this.trace = trace;
        this.node = node;
        this.random = random;
    }

    @Override
    public void accept(QuarantineReport report) {
        switch (report) {
            case QuarantineReport.Crash crash -> append(crash, 1);
            case QuarantineReport.Begun sound -> publishLater(begun, sound.parts());
            case QuarantineReport.Known sound -> publishLater(known, sound.parts());
        }
    }

    private void publishLater(Set<String> waiting, List<String> parts) {
        boolean scheduled = !waiting.isEmpty();
        waiting.addAll(parts);
        if (!scheduled) {
            Duration delay = Duration.ofNanos(random.nextLong(MAX_PARTS_DELAY.toNanos()));
            clock.after(delay, this::publishParts);
        }
    }

    private void publishParts() {
        if (!begun.isEmpty()) {
            append(new QuarantineReport.Begun(List.copyOf(begun)), 1);
            begun.clear();
        }
        if (!known.isEmpty()) {
            append(new QuarantineReport.Known(List.copyOf(known)), 1);
            known.clear();
        }
    }

    private void append(QuarantineReport report, int attempt) {
        if (!withinLimit()) {
            logger.atWarning().log("too many reports about prompts, left out: %s", report);
            return;
        }
        QuarantineRecord entry = new QuarantineRecord(report, node, clock.wallMillis());
        log.append(FaultReport.STREAM, entry.key(), entry.encode())
                .exceptionally(
                        error -> {
                            logger.atWarning().log("cannot publish %s: %s", report, error);
                            if (attempt < MAX_APPEND_ATTEMPTS) {
                                clock.after(RETRY_DELAY, () -> append(report, attempt + 1));
                            }
                            return null;
                        });
    }

    /** Drops what waits to be published and has just been published by another node. */
    private void forgetPublished(QuarantineReport report) {
        switch (report) {
            case QuarantineReport.Begun sound -> begun.removeAll(sound.parts());
            case QuarantineReport.Known sound -> known.removeAll(sound.parts());
            case QuarantineReport.Crash crash -> {
                // each node reports requests of its own
            }
        }
    }

    private boolean withinLimit() {
        long now = clock.nanos();
        if (windowNanos == Long.MIN_VALUE || now - windowNanos >= WINDOW.toNanos()) {
            windowNanos = now;
            appends = 0;
        }
        appends++;
        return appends <= MAX_APPENDS_PER_WINDOW;
    }

    /** Applies a record that was just written. */
    void apply(KeyedLog.Entry entry, PromptGuard guard) {
        decodeAndApply(entry, guard, false);
    }

    /** Applies a record that may have been written long ago. */
    void applyStored(KeyedLog.Entry entry, PromptGuard guard) {
        decodeAndApply(entry, guard, true);
    }

    private void decodeAndApply(KeyedLog.Entry entry, PromptGuard guard, boolean stored) {
        try {
            QuarantineRecord read = QuarantineRecord.decode(entry.value().orElseThrow());
            Duration age =
                    stored
                            ? Duration.ofMillis(clock.wallMillis() - read.wallMillis())
                            : Duration.ZERO;
            boolean own = read.node().equals(node) && !stored;
            if (own || age.compareTo(MAX_AGE) > 0 || age.negated().compareTo(MAX_AGE) > 0) {
                return;
            }
            forgetPublished(read.report());
            guard.received(read.report(), age.isNegative() ? Duration.ZERO : age, read.node());
        } catch (InvalidArgumentException | ArithmeticException e) {
            trace.record(
                    new TraceEvent.Malformed(
                            FaultReport.STREAM, entry.key(), entry.offset(), e.getMessage()));
        }
    }
}
