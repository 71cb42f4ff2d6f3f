package hyssopturn.quarantine;

import hyssopturn.port.Clock;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The quarantine as requests see it: applies and publishes what this node finds out, applies what
 * other nodes have published, and logs what follows. Confined to one event loop.
 */
public final class PromptGuard {
    private final PromptQuarantine quarantine;
    private final Clock clock;
    private final TraceLog trace;
    private final Consumer<QuarantineReport> reports;

    /**
     * Creates a guard.
     *
     * @param quarantine the decisions
     * @param clock clock of this node
     * @param trace structured log
     * @param reports receives reports for the other nodes
     */
    public PromptGuard(
            PromptQuarantine quarantine,
            Clock clock,
            TraceLog trace,
            Consumer<QuarantineReport> reports) {
        this.quarantine = quarantine;
        this.clock = clock;
        this.trace = trace;
        this.reports = reports;
    }

    /**
     * Records a crash at which requests of this node were about to begin.
     *
     * @param run the run of the engine that ended
     * @param requests for each of the requests, ids of its shared parts
     */
    public void crashed(EngineRun run, List<List<String>> requests) {
        long now = clock.nanos();
        List<List<String>> suspected =
                requests.stream()
                        .map(parts -> quarantine.suspected(parts, now))
                        .filter(parts -> !parts.isEmpty())
                        .distinct()
                        .toList();
        if (suspected.isEmpty()) {
            return;
        }
        QuarantineReport.Crash crash = new QuarantineReport.Crash(run, suspected);
        trace.record(
                new TraceEvent.CrashEvidence(
                        run.engine().value(),
                        run.incarnation(),
                        suspected.stream().map(parts -> String.join(",", parts)).toList()));
        apply(crash, now, "own requests");
        reports.accept(crash);
    }

    /**
     * Records that a request of this node has begun.
     *
     * @param parts ids of its shared parts
     */
    public void begun(List<String> parts) {
        List<String> cleared = quarantine.recordBegin(parts, clock.nanos());
        if (!cleared.isEmpty()) {
            recordCleared(cleared, "own request began");
            reports.accept(new QuarantineReport.Begun(cleared));
        }
    }

    /**
     * Applies a report of another node.
     *
     * @param report the report
     * @param age time since it was made
     * @param node the node
     */
    public void received(QuarantineReport report, Duration age, String node) {
        long time = clock.nanos() - age.toNanos();
        switch (report) {
            case QuarantineReport.Crash crash -> apply(crash, time, "told by " + node);
            case QuarantineReport.Known known -> quarantine.recordKnown(known.parts(), time);
            case QuarantineReport.Begun begun -> {
                List<String> cleared = quarantine.recordBegin(begun.parts(), time);
                if (!cleared.isEmpty()) {
                    recordCleared(cleared, "told by " + node);
                }
            }
        }
    }

    private void apply(QuarantineReport.Crash crash, long nowNanos, String cause) {
        for (PromptQuarantine.Blame blame : quarantine.recordCrash(crash, nowNanos)) {
            trace.record(
                    new TraceEvent.PartQuarantined(
                            blame.part(),
                            blame.crashes(),
                            blame.duration().toMillis(),
                            crash.run().engine().value(),
                            cause));
        }
        List<String> known = quarantine.known(crash, nowNanos);
        if (!known.isEmpty()) {
            reports.accept(new QuarantineReport.Known(known));
        }
    }

    private void recordCleared(List<String> parts, String cause) {
        trace.record(new TraceEvent.PartsCleared(parts, cause));
    }

    /**
     * Decides whether a request may be sent to an engine.
     *
     * @param parts ids of the request's shared parts
     * @return time until the quarantine of a part ends, empty if the request may be sent
     */
    public Optional<Duration> check(List<String> parts) {
        return quarantine.check(parts, clock.nanos());
    }

    /**
     * Returns whether a request that was at a crash should not be repeated.
     *
     * @param parts ids of the request's shared parts
     * @return true if there is recent evidence against one of the parts
     */
    public boolean implicated(List<String> parts) {
        return quarantine.implicated(parts, clock.nanos());
    }
}
