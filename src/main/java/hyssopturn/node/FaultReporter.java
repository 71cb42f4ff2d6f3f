package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.FaultReport;
import hyssopturn.fleet.Roster;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Publishes reports of failed engines and applies those of other nodes, so that layers are placed
 * on other engines before the entries of the failed ones expire.
 *
 * <p>A report excludes an engine for a short time only; nodes that use the engine check it
 * themselves. Without reports the entries of failed engines expire some seconds later.
 */
final class FaultReporter implements KeyedFollower.Listener, Consumer<Endpoint> {
    /**
     * Maximum random delay before a report. Of the nodes that detect a fault at the same time,
     * usually only the first publishes it.
     */
    private static final Duration MAX_REPORT_DELAY = Duration.ofMillis(80);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final KeyedLog log;
    private final Roster roster;
    private final Clock clock;
    private final TraceLog trace;
    private final String node;
    private final RandomGenerator random;
    private final Map<InstanceId, Long> reportedNanos = new HashMap<>();

    FaultReporter(
            KeyedLog log,
            Roster roster,
            Clock clock,
            TraceLog trace,
            String node,
            RandomGenerator random) {
        this.random = random;
        this.log = log;
        this.roster = roster;
        this.clock = clock;
        this.trace = trace;
        this.node = node;
    }

    /** Reports an engine after a random delay, unless another node has reported it by then. */
    @Override
    public void accept(Endpoint engine) {
        reportedNanos
                .values()
                .removeIf(reported -> clock.nanos() - reported > Roster.MIN_SUSPICION.toNanos());
        Duration delay = Duration.ofNanos(random.nextLong(MAX_REPORT_DELAY.toNanos()));
        clock.after(
                delay,
                () -> {
                    if (reportedNanos.putIfAbsent(engine.id(), clock.nanos()) == null) {
                        report(engine);
                    }
                });
    }

    private void report(Endpoint engine) {
        FaultReport report = new FaultReport(engine.id(), engine.incarnation(), node);
        log.append(FaultReport.STREAM, engine.id().value(), report.encode())
                .exceptionally(
                        error -> {
                            logger.atWarning().log(
                                    "cannot publish the fault report of %s: %s", engine, error);
                            return null;
                        });
    }

    @Override
    public void snapshot(KeyedLog.Page page) {
        // old reports are ignored: the entries of these endpoints are more recent
    }

    @Override
    public void records(KeyedLog.Page page) {
        for (KeyedLog.Entry entry : page.entries()) {
            entry.value().ifPresent(value -> apply(entry));
        }
    }

    private void apply(KeyedLog.Entry entry) {
        try {
            FaultReport report = FaultReport.decode(entry.key(), entry.value().orElseThrow());
            long now = clock.nanos();
            reportedNanos.put(report.endpoint(), now);
            if (roster.suspect(report.endpoint(), report.incarnation(), Evidence.REPORT, now)) {
                trace.record(
                        new TraceEvent.EndpointChanged(
                                entry.key(), "", "suspect", "", "told by " + report.reporter()));
            }
        } catch (InvalidArgumentException e) {
            trace.record(
                    new TraceEvent.Malformed(
                            FaultReport.STREAM, entry.key(), entry.offset(), e.getMessage()));
        }
    }

    @Override
    public void readFailed(PortException error) {
        logger.atFine().log("cannot read fault reports: %s", error);
    }
}
