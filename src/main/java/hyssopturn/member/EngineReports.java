package hyssopturn.member;

import hyssopturn.member.Fact.Kind;
import hyssopturn.member.Fact.Load;
import hyssopturn.member.Fact.Report;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Latest reports of engines, from this node's own polls or else from facts of other nodes. */
final class EngineReports {
    private static final int MAX_FAILURES = 2;
    private static final int FRESH_INTERVALS = 3;
    private static final Duration MAX_LOAD_AGE = Duration.ofSeconds(10);
    private static final double LOAD_TOLERANCE = 0.25;
    private static final int WRITER_BITS = 16;
    private static final long WRITER_MASK = (1L << WRITER_BITS) - 1;

    private final Roster roster;
    private final long writer;
    private final Map<InstanceId, Observation> observations = new HashMap<>();

    private record Observation(
            long incarnation, Optional<EngineReport> report, long nanos, int failures) {}

    EngineReports(InstanceId self, Roster roster) {
        this.roster = roster;
        writer = Rendezvous.hash(self.value()) & WRITER_MASK;
    }

    /** Records the report of a polled engine and publishes what changed as facts. */
    void recordReport(Instance engine, EngineReport report, boolean shareLoad, long now) {
        observations.put(
                engine.id(), new Observation(engine.incarnation(), Optional.of(report), now, 0));
        if (report.draining()) {
            roster.markLeaving(engine.id(), engine.incarnation(), now);
        }
        Optional<Report> known = known(engine, Kind.REPORT, Report.class);
        if (known.isEmpty() || differs(known.get(), report)) {
            roster.merge(
                    new Report(
                            engine.id(),
                            engine.incarnation(),
                            nextVersion(known.map(Report::version)),
                            true,
                            report.held(),
                            report.loading(),
                            report.term()),
                    now);
        }
        if (shareLoad) {
            shareLoad(engine, report, now);
        }
    }

    private static boolean differs(Report known, EngineReport report) {
        return !known.reachable()
                || !known.held().equals(report.held())
                || !known.loading().equals(report.loading())
                || known.term() < report.term();
    }

    private void shareLoad(Instance engine, EngineReport report, long now) {
        Optional<Load> known = known(engine, Kind.LOAD, Load.class);
        boolean aged =
                roster.table()
                        .slot(engine.id(), Kind.LOAD)
                        .filter(s -> now - s.learnedNanos() < MAX_LOAD_AGE.toNanos())
                        .isEmpty();
        if (!aged && known.isPresent() && similar(known.get(), report)) {
            return;
        }
        roster.merge(
                new Load(
                        engine.id(),
                        engine.incarnation(),
                        nextVersion(known.map(Load::version)),
                        report.running(),
                        report.waiting(),
                        report.kvFreeTokens(),
                        (float) report.stepMillis()),
                now);
    }

    private static boolean similar(Load known, EngineReport report) {
        return near(known.running(), report.running())
                && near(known.waiting(), report.waiting())
                && near((double) known.kvFreeTokens(), (double) report.kvFreeTokens())
                && near(known.stepMillis(), report.stepMillis());
    }

    private static boolean near(double known, double current) {
        return Math.abs(known - current) <= Math.max(1, LOAD_TOLERANCE * Math.max(known, current));
    }

    private <T extends Fact> Optional<T> known(Instance engine, Kind kind, Class<T> type) {
        return roster.table()
                .fact(engine.id(), kind, type)
                .filter(f -> f.incarnation() == engine.incarnation());
    }

    /** Returns the next version: a count, then bits of this node's name so that writers differ. */
    private long nextVersion(Optional<Long> version) {
        long count = version.map(v -> v >>> WRITER_BITS).orElse(0L) + 1;
        return (count << WRITER_BITS) | writer;
    }

    /** Records that an engine did not answer; returns true if other nodes should probe it. */
    boolean recordFailure(Instance engine, long now) {
        Observation before = observations.get(engine.id());
        boolean same = before != null && before.incarnation() == engine.incarnation();
        int failures = same ? before.failures() + 1 : 1;
        Optional<EngineReport> last = same ? before.report() : Optional.empty();
        observations.put(engine.id(), new Observation(engine.incarnation(), last, now, failures));
        boolean published =
                known(engine, Kind.REPORT, Report.class).filter(r -> !r.reachable()).isPresent();
        return failures >= MAX_FAILURES && !published;
    }

    /** Publishes that no probing node reaches an engine. */
    void markUnreachable(Instance engine, long now) {
        Optional<Report> known = known(engine, Kind.REPORT, Report.class);
        if (known.isPresent() && known.get().reachable()) {
            Report r = known.get();
            roster.merge(
                    new Report(
                            r.subject(),
                            r.incarnation(),
                            nextVersion(Optional.of(r.version())),
                            false,
                            r.held(),
                            r.loading(),
                            r.term()),
                    now);
        }
    }

    /** Returns the latest report of an engine, empty if there is none or it does not answer. */
    Optional<EngineReport> report(Instance engine, Duration interval, long now) {
        Observation own = observations.get(engine.id());
        if (own != null && own.incarnation() == engine.incarnation()) {
            boolean fresh = now - own.nanos() <= FRESH_INTERVALS * interval.toNanos();
            if (fresh && own.failures() >= MAX_FAILURES) {
                return Optional.empty();
            }
            if (fresh && own.report().isPresent()) {
                return own.report();
            }
        }
        return known(engine, Kind.REPORT, Report.class)
                .filter(Report::reachable)
                .map(r -> combine(r, known(engine, Kind.LOAD, Load.class)));
    }

    private static EngineReport combine(Report report, Optional<Load> load) {
        return new EngineReport(
                report.held(),
                report.loading(),
                load.map(Load::running).orElse(0),
                load.map(Load::waiting).orElse(0),
                load.map(Load::kvFreeTokens).orElse(0L),
                load.map(l -> (double) l.stepMillis()).orElse(0.0),
                false,
                report.term());
    }

    /** Removes the observations of engines that are no longer listed. */
    void removeUnlisted() {
        observations.keySet().removeIf(id -> !roster.contains(id));
    }
}
