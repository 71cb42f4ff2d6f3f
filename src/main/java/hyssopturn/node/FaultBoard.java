package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.fleet.Endpoint;
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
 * Passes on which engines failed, so that layers are placed anew before their entries lapse.
 *
 * <p>Only what an engine said of another is passed on: a node that is cut off itself finds every
 * endpoint unreachable. Reports are hints; without them entries lapse some seconds later.
 */
final class FaultBoard implements KeyedFollower.Listener, Consumer<Endpoint> {
    /**
     * Time within which nodes that notice a fault together report it; mostly the first one does.
     */
    private static final Duration SPREAD = Duration.ofMillis(80);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final KeyedLog log;
    private final Roster roster;
    private final Clock clock;
    private final TraceLog trace;
    private final String node;
    private final RandomGenerator random;
    private final Map<InstanceId, Long> told = new HashMap<>();

    FaultBoard(
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

    /** Reports an engine, unless another node does in the next moment. */
    @Override
    public void accept(Endpoint engine) {
        told.values().removeIf(at -> clock.nanos() - at > Roster.SUSPICION.toNanos());
        Duration delay = Duration.ofNanos(random.nextLong(SPREAD.toNanos()));
        clock.after(
                delay,
                () -> {
                    if (told.putIfAbsent(engine.id(), clock.nanos()) == null) {
                        report(engine);
                    }
                });
    }

    private void report(Endpoint engine) {
        FaultReport report = new FaultReport(engine.id(), engine.incarnation(), node);
        log.append(FaultReport.STREAM, engine.id().value(), report.encode())
                .exceptionally(
                        error -> {
                            logger.atWarning().log("fault of %s not reported: %s", engine, error);
                            return null;
                        });
    }

    @Override
    public void whole(KeyedLog.Page page) {
        // reports of the past: the entries of these endpoints tell more by now
    }

    @Override
    public void records(KeyedLog.Page page) {
        for (KeyedLog.Entry entry : page.entries()) {
            entry.value().ifPresent(value -> take(entry));
        }
    }

    private void take(KeyedLog.Entry entry) {
        try {
            FaultReport report = FaultReport.decode(entry.key(), entry.value().orElseThrow());
            long now = clock.nanos();
            told.put(report.endpoint(), now);
            if (roster.suspect(report.endpoint(), report.incarnation(), now)) {
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
    public void unreadable(PortException error) {
        logger.atFine().log("reports of faults cannot be read: %s", error);
    }
}
