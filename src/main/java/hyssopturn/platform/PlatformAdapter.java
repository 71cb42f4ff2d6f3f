package hyssopturn.platform;

import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.CatalogReading;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.Duties;
import hyssopturn.port.EngineControl;
import hyssopturn.port.KeyedLog;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.relay.EndpointClient;
import hyssopturn.relay.EndpointNotices;
import hyssopturn.relay.HeaderCodec;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.http.HttpClient;

import java.util.Optional;

/** Implements the product's ports for the users' platform. */
public final class PlatformAdapter {
    private final LogStoreClient store;
    private final GroupDuties duties;
    private final PlatformHeaders headers;
    private final HttpEngineControl engines;
    private final HeartbeatDecoder announcements = new HeartbeatDecoder();

    /**
     * Creates an adapter.
     *
     * @param settings the platform's settings
     * @param storeClient HTTP client for the log store
     * @param engineClient opens requests to engines
     * @param clock clock whose tasks run on the event loop of the clients
     * @param memory limits the answers that are read at the same time
     * @param notices receives what endpoints say about themselves
     * @param meters registry for the counters of calls
     */
    public PlatformAdapter(
            PlatformSettings settings,
            HttpClient storeClient,
            EndpointClient engineClient,
            Clock clock,
            AnswerMemory memory,
            EndpointNotices notices,
            MeterRegistry meters) {
        store =
                new LogStoreClient(
                        new HttpCalls(
                                options -> storeClient.request(options),
                                clock,
                                memory,
                                meters,
                                "store"),
                        settings.store());
        duties = new GroupDuties(store, settings.node(), settings.peers(), settings.partitions());
        headers = new PlatformHeaders(meters);
        engines =
                new HttpEngineControl(
                        new HttpCalls(engineClient, clock, memory, meters, "engine"),
                        headers,
                        notices);
    }

    /**
     * Returns the platform's log.
     *
     * @return the log
     */
    public KeyedLog log() {
        return store;
    }

    /**
     * Returns the number of partitions that the log assigns to nodes.
     *
     * @param settings the platform's settings
     * @return the number
     */
    public static int partitions(PlatformSettings settings) {
        return GroupDuties.partitions(settings.partitions());
    }

    /**
     * Returns the duties that the log assigns to nodes.
     *
     * @return the duties
     */
    public Duties duties() {
        return duties;
    }

    /**
     * Returns the client for reports of engines and orders to them.
     *
     * @return the client
     */
    public EngineControl engines() {
        return engines;
    }

    /**
     * Returns the codec for the headers of callers and endpoints.
     *
     * @return the codec
     */
    public HeaderCodec headers() {
        return headers;
    }

    /**
     * Returns the name of the stream of configurations.
     *
     * @return name of the stream
     */
    public String configStream() {
        return LogStoreClient.CONFIG_STREAM;
    }

    /**
     * Returns the name of the stream of endpoints' announcements.
     *
     * @return name of the stream
     */
    public String endpointStream() {
        return LogStoreClient.ENDPOINT_STREAM;
    }

    /**
     * Decodes a record of the stream of configurations.
     *
     * @param entry the record
     * @param previous the configuration in force, whose entries stand in for unreadable ones
     * @return the configuration, empty if the record has another key or no value
     * @throws IllegalArgumentException if nothing of the configuration can be read
     */
    public Optional<CatalogReading> catalog(KeyedLog.Entry entry, Optional<Catalog> previous) {
        if (!entry.key().equals(CatalogDecoder.KEY) || entry.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(CatalogDecoder.decode(entry.value().get(), previous));
        } catch (RuntimeException | StackOverflowError e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /**
     * Returns whether an endpoint's announcement only repeats an earlier one.
     *
     * @param earlier value of the record of the earlier announcement
     * @param later value of the record of the announcement
     * @return true if it differs in nothing but a greater sequence number
     */
    public static boolean repeats(Bytes earlier, Bytes later) {
        return HeartbeatDecoder.repeats(earlier, later);
    }

    /**
     * Decodes an endpoint's announcement.
     *
     * @param entry the record, which must have a value
     * @return the endpoint
     * @throws IllegalArgumentException if the announcement is malformed
     */
    public Endpoint endpoint(KeyedLog.Entry entry) {
        try {
            return announcements.decode(entry.key(), entry.value().orElseThrow());
        } catch (RuntimeException | StackOverflowError e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
