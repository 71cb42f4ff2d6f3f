package hyssopturn.node;

import hyssopturn.catalog.Catalog;
import hyssopturn.log.KeyedFollower;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.relay.RoutingState;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.util.Optional;
import java.util.function.Function;

/** Applies configurations as they are read from their stream. */
final class CatalogListener implements KeyedFollower.Listener {
    private static final String STREAM = "config-stream";

    private final RoutingState knowledge;
    private final Function<KeyedLog.Entry, Optional<Catalog>> decoder;
    private final Clock clock;
    private final TraceLog trace;
    private boolean lost;

    CatalogListener(
            RoutingState knowledge,
            Function<KeyedLog.Entry, Optional<Catalog>> decoder,
            Clock clock,
            TraceLog trace) {
        this.knowledge = knowledge;
        this.decoder = decoder;
        this.clock = clock;
        this.trace = trace;
    }

    @Override
    public void snapshot(KeyedLog.Page page) {
        records(page);
    }

    @Override
    public void records(KeyedLog.Page page) {
        page.entries().forEach(this::apply);
        knowledge.markConfirmed(clock.nanos());
        if (lost) {
            lost = false;
            trace.record(new TraceEvent.Dependency(STREAM, "regained", ""));
        }
    }

    private void apply(KeyedLog.Entry entry) {
        try {
            decoder.apply(entry).filter(knowledge::update).ifPresent(this::recordInForce);
        } catch (IllegalArgumentException e) {
            trace.record(
                    new TraceEvent.Malformed(STREAM, entry.key(), entry.offset(), e.getMessage()));
        }
    }

    private void recordInForce(Catalog catalog) {
        trace.record(
                new TraceEvent.ConfigInForce(
                        catalog.version(), catalog.routeCount(), catalog.hasAccounts()));
    }

    @Override
    public void readFailed(PortException error) {
        if (!lost) {
            lost = true;
            trace.record(new TraceEvent.Dependency(STREAM, "lost", error.getMessage()));
        }
    }
}
