package hyssopturn.platform;

import hyssopturn.catalog.Catalog;
import hyssopturn.fleet.Endpoint;
import hyssopturn.port.Clock;
import hyssopturn.port.Duties;
import hyssopturn.port.EngineControl;
import hyssopturn.port.KeyedLog;
import hyssopturn.relay.Dialect;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.http.HttpClient;

import java.util.Optional;

/** The product's ports on the users' platform. */
public final class PlatformAdapter {
    private final Store store;
    private final GroupDuties duties;
    private final HttpEngineControl engines;

    /**
     * Creates the ports.
     *
     * @param settings the platform's settings
     * @param storeClient connections to the store
     * @param engineClient connections to engines
     * @param clock time, whose tasks run on the event loop of the connections
     * @param meters counters of calls
     */
    public PlatformAdapter(
            PlatformSettings settings,
            HttpClient storeClient,
            HttpClient engineClient,
            Clock clock,
            MeterRegistry meters) {
        store = new Store(new HttpCalls(storeClient, clock, meters, "store"), settings.store());
        duties = new GroupDuties(store, settings.node(), settings.partitions());
        engines = new HttpEngineControl(new HttpCalls(engineClient, clock, meters, "engine"));
    }

    /**
     * Returns the streams of the platform's log.
     *
     * @return the log
     */
    public KeyedLog log() {
        return store;
    }

    /**
     * Returns the duties dealt out by the log.
     *
     * @return the duties
     */
    public Duties duties() {
        return duties;
    }

    /**
     * Returns questions and orders to engines.
     *
     * @return the engines
     */
    public EngineControl engines() {
        return engines;
    }

    /**
     * Returns the headers of callers and endpoints.
     *
     * @return the dialect
     */
    public Dialect dialect() {
        return new HeaderDialect();
    }

    /**
     * Names the stream of configurations.
     *
     * @return name of the stream
     */
    public String configStream() {
        return Store.CONFIG;
    }

    /**
     * Names the stream of endpoints' announcements.
     *
     * @return name of the stream
     */
    public String endpointStream() {
        return Store.ENDPOINTS;
    }

    /**
     * Decodes a record of the stream of configurations.
     *
     * @param entry the record
     * @return the configuration, empty if the record holds something else
     * @throws IllegalArgumentException if it is malformed
     */
    public Optional<Catalog> catalog(KeyedLog.Entry entry) {
        if (!entry.key().equals(CatalogDecoder.KEY) || entry.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(CatalogDecoder.decode(entry.value().get()));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /**
     * Decodes an endpoint's announcement.
     *
     * @param entry the record, which must have a value
     * @return the endpoint
     * @throws IllegalArgumentException if it is malformed
     */
    public Endpoint endpoint(KeyedLog.Entry entry) {
        try {
            return EndpointDecoder.decode(entry.key(), entry.value().orElseThrow());
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
