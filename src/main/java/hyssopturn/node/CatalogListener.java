package hyssopturn.node;

import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.CatalogReading;
import hyssopturn.log.KeyedFollower;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.relay.RoutingState;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.util.Optional;

/** Applies configurations as they are read from their stream. */
final class CatalogListener implements KeyedFollower.Listener {
    private static final String STREAM = "config-stream";

    private final RoutingState knowledge;
    private final Decoder decoder;
    private final Clock clock;
    private final TraceLog trace;
    private boolean lost;
    private Optional<KeyedLog.Entry> inForce = Optional.empty();

    /** Decodes a record of the stream. */
    interface Decoder {
        /**
         * Decodes a record.
         *
         * @param entry the record
         * @param previous the configuration in force, whose entries stand in for unreadable ones
         * @return the configuration, empty if the record holds none
         * @throws IllegalArgumentException if nothing of the configuration can be read
         */
        Optional<CatalogReading> decode(KeyedLog.Entry entry, Optional<Catalog> previous);
    }

    CatalogListener(RoutingState knowledge, Decoder decoder, Clock clock, TraceLog trace) {
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
        records(page, clock.nanos());
    }

    @Override
    public void records(KeyedLog.Page page, long readNanos) {
        page.entries().forEach(this::apply);
        knowledge.markConfirmed(readNanos);
        if (lost) {
            lost = false;
            trace.record(new TraceEvent.Dependency(STREAM, "regained", ""));
        }
    }

    /** Returns the record of the configuration in force. */
    Optional<KeyedLog.Entry> inForce() {
        return inForce;
    }

    /** Puts the configuration of a record into force if it is newer than the one in force. */
    void apply(KeyedLog.Entry entry) {
        try {
            decoder.decode(entry, knowledge.catalog())
                    .filter(r -> knowledge.update(r.catalog()))
                    .ifPresent(r -> recordInForce(entry, r));
        } catch (IllegalArgumentException e) {
            knowledge.markNewerUnreadable();
            recordMalformed(entry, e.getMessage());
        }
    }

    private void recordMalformed(KeyedLog.Entry entry, String message) {
        trace.record(new TraceEvent.Malformed(STREAM, entry.key(), entry.offset(), message));
    }

    private void recordInForce(KeyedLog.Entry entry, CatalogReading reading) {
        reading.unreadable().forEach(message -> recordMalformed(entry, message));
        Catalog catalog = reading.catalog();
        inForce = Optional.of(entry);
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
