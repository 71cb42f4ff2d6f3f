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

/** What is known of engines, from this node's own polls or else from other nodes. */
final class EngineReports {
    private static final int FAILURES = 2;
    private static final int FRESH_INTERVALS = 3;
    private static final Duration LOAD_AGE = Duration.ofSeconds(10);
    private static final double CHANGE = 0.25;
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

    /** Takes an answer of an engine and tells other nodes what is news to them. */
    void answered(Instance engine, EngineReport report, boolean tellLoad, long now) {
        observations.put(
                engine.id(), new Observation(engine.incarnation(), Optional.of(report), now, 0));
        if (report.draining()) {
            roster.leave(engine.id(), engine.incarnation(), now);
        }
        Optional<Report> told = told(engine, Kind.REPORT, Report.class);
        if (told.isEmpty() || differs(told.get(), report)) {
            roster.learn(
                    new Report(
                            engine.id(),
                            engine.incarnation(),
                            next(told.map(Report::version)),
                            true,
                            report.held(),
                            report.loading(),
                            report.term()),
                    now);
        }
        if (tellLoad) {
            tellLoad(engine, report, now);
        }
    }

    private static boolean differs(Report told, EngineReport report) {
        return !told.reachable()
                || !told.held().equals(report.held())
                || !told.loading().equals(report.loading())
                || told.term() < report.term();
    }

    private void tellLoad(Instance engine, EngineReport report, long now) {
        Optional<Load> told = told(engine, Kind.LOAD, Load.class);
        boolean aged =
                roster.table()
                        .slot(engine.id(), Kind.LOAD)
                        .filter(s -> now - s.learnedNanos() < LOAD_AGE.toNanos())
                        .isEmpty();
        if (!aged && told.isPresent() && similar(told.get(), report)) {
            return;
        }
        roster.learn(
                new Load(
                        engine.id(),
                        engine.incarnation(),
                        next(told.map(Load::version)),
                        report.running(),
                        report.waiting(),
                        report.kvFreeTokens(),
                        (float) report.stepMillis()),
                now);
    }

    private static boolean similar(Load told, EngineReport report) {
        return near(told.running(), report.running())
                && near(told.waiting(), report.waiting())
                && near((double) told.kvFreeTokens(), (double) report.kvFreeTokens())
                && near(told.stepMillis(), report.stepMillis());
    }

    private static boolean near(double told, double now) {
        return Math.abs(told - now) <= Math.max(1, CHANGE * Math.max(told, now));
    }

    private <T extends Fact> Optional<T> told(Instance engine, Kind kind, Class<T> type) {
        return roster.table()
                .fact(engine.id(), kind, type)
                .filter(f -> f.incarnation() == engine.incarnation());
    }

    private long next(Optional<Long> version) {
        long count = version.map(v -> v >>> WRITER_BITS).orElse(0L) + 1;
        return (count << WRITER_BITS) | writer;
    }

    /** Notes that an engine did not answer; true once that calls for a second opinion. */
    boolean failed(Instance engine, long now) {
        Observation before = observations.get(engine.id());
        boolean same = before != null && before.incarnation() == engine.incarnation();
        int failures = same ? before.failures() + 1 : 1;
        Optional<EngineReport> last = same ? before.report() : Optional.empty();
        observations.put(engine.id(), new Observation(engine.incarnation(), last, now, failures));
        boolean known =
                told(engine, Kind.REPORT, Report.class).filter(r -> !r.reachable()).isPresent();
        return failures >= FAILURES && !known;
    }

    /** Tells other nodes that nobody who was asked reaches an engine. */
    void unreachable(Instance engine, long now) {
        Optional<Report> told = told(engine, Kind.REPORT, Report.class);
        if (told.isPresent() && told.get().reachable()) {
            Report r = told.get();
            roster.learn(
                    new Report(
                            r.subject(),
                            r.incarnation(),
                            next(Optional.of(r.version())),
                            false,
                            r.held(),
                            r.loading(),
                            r.term()),
                    now);
        }
    }

    /** Returns what is known of an engine, empty if it is unknown or does not answer. */
    Optional<EngineReport> report(Instance engine, Duration interval, long now) {
        Observation own = observations.get(engine.id());
        if (own != null && own.incarnation() == engine.incarnation()) {
            boolean fresh = now - own.nanos() <= FRESH_INTERVALS * interval.toNanos();
            if (fresh && own.failures() >= FAILURES) {
                return Optional.empty();
            }
            if (fresh && own.report().isPresent()) {
                return own.report();
            }
        }
        return told(engine, Kind.REPORT, Report.class)
                .filter(Report::reachable)
                .map(r -> combine(r, told(engine, Kind.LOAD, Load.class)));
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

    void retain() {
        observations.keySet().removeIf(id -> !roster.knows(id));
    }
}
