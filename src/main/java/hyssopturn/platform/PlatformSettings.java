package hyssopturn.platform;

import static hyssopturn.platform.JsonValue.integer;
import static hyssopturn.platform.JsonValue.number;
import static hyssopturn.platform.JsonValue.text;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;
import hyssopturn.model.MachineLimits;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Settings from the file that the platform provides to each process.
 *
 * @param node name of this instance
 * @param zone availability zone of this instance
 * @param zones number of availability zones
 * @param front address at which callers connect
 * @param readiness address of the platform's readiness probe
 * @param metrics address at which metrics are served, on the first of the ports that the platform
 *     reserves for the product's own use
 * @param peers address at which other nodes reach this one, on the second of those ports
 * @param store address of the platform's log store
 * @param grace time from the stop signal until the process is killed
 * @param leaveNotice time after which no request may reach an endpoint that announced that it is
 *     leaving
 * @param catchUpLimit time after the end of an outage within which a node must know all changes
 * @param retryRatio permitted retries to a service per request to it
 * @param retryWindow time window over which retries are counted
 * @param retryFixed additional retries per window, for all nodes together
 * @param partitions number of partitions of a topic of the log
 * @param machine what this process may occupy on its machine
 */
public record PlatformSettings(
        String node,
        String zone,
        int zones,
        Address front,
        Address readiness,
        Address metrics,
        Address peers,
        Address store,
        Duration grace,
        Duration leaveNotice,
        Duration catchUpLimit,
        double retryRatio,
        Duration retryWindow,
        double retryFixed,
        int partitions,
        MachineLimits machine) {
    private static final TomlMapper TOML = new TomlMapper();
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long BYTES_PER_MEGABYTE = 1L << 20;

    /** Descriptors that the platform keeps for files; sockets and pipes share the others. */
    private static final int FILE_DESCRIPTORS = 200;

    private static final int METRICS_PORT = 0;
    private static final int PEER_PORT = 1;
    private static final int LOAD_PORT = 3;
    private static final int TUNNEL_PORT = 4;
    private static final double DEFAULT_LEAVE_NOTICE_MILLIS = 2_000;
    private static final double DEFAULT_CATCH_UP_MILLIS = 3_000;

    /**
     * Reads a settings file.
     *
     * @param file path of the TOML file
     * @return the settings
     * @throws InvalidArgumentException if the file cannot be read or a setting is missing or
     *     malformed
     */
    public static PlatformSettings read(Path file) {
        try {
            return decode(TOML.readTree(Files.readString(file)));
        } catch (IOException e) {
            throw new InvalidArgumentException("cannot read settings " + file + ": " + e);
        } catch (JsonValue.MalformedException e) {
            throw new InvalidArgumentException("invalid settings " + file + ": " + e.getMessage());
        }
    }

    private static PlatformSettings decode(JsonNode file) {
        JsonNode listen = file.path("Listen");
        JsonNode bounds = file.path("Bounds");
        JsonNode store = file.path("Platform");
        return new PlatformSettings(
                text(file, "Node"),
                text(file, "Zone"),
                Math.max(1, file.path("Zones").size()),
                Address.parse(text(listen, "Front")),
                Address.parse(text(listen, "ReadinessAddress")),
                internal(file, METRICS_PORT),
                internal(file, PEER_PORT),
                Address.parse(text(store, "Address")),
                seconds(bounds, "GraceS"),
                millis(bounds, "DrainMs", DEFAULT_LEAVE_NOTICE_MILLIS),
                millis(bounds, "StableWindowMs", DEFAULT_CATCH_UP_MILLIS),
                number(bounds, "BudgetRatio", 0),
                seconds(bounds, "BudgetWindowS"),
                number(bounds, "BudgetSlack", 0),
                (int) Math.max(1, integer(store, "parts", 1)),
                machine(file.path("Limits")));
    }

    private static MachineLimits machine(JsonNode limits) {
        long megabytes = integer(limits, "MemoryMb", 0);
        long descriptors = integer(limits, "MaxFds", 0);
        return new MachineLimits(
                megabytes > 0
                        ? OptionalLong.of(megabytes * BYTES_PER_MEGABYTE)
                        : OptionalLong.empty(),
                descriptors > FILE_DESCRIPTORS
                        ? OptionalInt.of((int) (descriptors - FILE_DESCRIPTORS))
                        : OptionalInt.empty());
    }

    /**
     * Returns the address at which other nodes send messages about load to this one.
     *
     * @return the address, on the fourth of the ports that the platform reserves
     */
    public Address loads() {
        return loads(peers);
    }

    /**
     * Returns the address at which a node receives messages about load.
     *
     * @param peers address at which other nodes reach the node
     * @return the address; all nodes use the reserved ports in the same order
     */
    public static Address loads(Address peers) {
        return new Address(peers.host(), peers.port() + LOAD_PORT - PEER_PORT);
    }

    /**
     * Returns the address at which other nodes ask this one for connections to endpoints.
     *
     * @return the address, on the fifth of the ports that the platform reserves
     */
    public Address tunnels() {
        return tunnels(peers);
    }

    /**
     * Returns the address at which a node is asked for connections to endpoints.
     *
     * @param peers address at which other nodes reach the node
     * @return the address; all nodes use the reserved ports in the same order
     */
    public static Address tunnels(Address peers) {
        return new Address(peers.host(), peers.port() + TUNNEL_PORT - PEER_PORT);
    }

    /** Returns one of the addresses that the platform reserves for the product's own use. */
    private static Address internal(JsonNode file, int index) {
        return new Address(text(file, "Ip"), file.path("InternalPorts").path(0).asInt() + index);
    }

    private static Duration millis(JsonNode node, String field, double defaultMillis) {
        return Duration.ofMillis(Math.round(number(node, field, defaultMillis)));
    }

    private static Duration seconds(JsonNode node, String field) {
        return Duration.ofMillis(Math.round(number(node, field, 0) * MILLIS_PER_SECOND));
    }
}
