package hyssopturn.platform;

import static hyssopturn.platform.JsonValue.number;
import static hyssopturn.platform.JsonValue.text;
import static hyssopturn.platform.JsonValue.whole;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * The settings file that the platform gives to each process.
 *
 * @param node name of this instance
 * @param zone its availability zone
 * @param zones number of availability zones
 * @param front where callers connect
 * @param readiness where the platform asks whether callers should be sent here
 * @param metrics where metrics are served; the first port that is free for the system's own use
 * @param store where the platform's log listens
 * @param grace time from the request to stop until the process is killed
 * @param leaveNotice time after which no request may reach an endpoint that said that it leaves
 * @param settled time after an outage by which a node must know all that changed
 * @param retryRatio retries to a service for each of its requests
 * @param retryWindow span over which retries are counted
 * @param retryFixed retries that all nodes together may send in that span besides
 * @param partitions number of partitions of a stream of the log
 */
public record PlatformSettings(
        String node,
        String zone,
        int zones,
        Address front,
        Address readiness,
        Address metrics,
        Address store,
        Duration grace,
        Duration leaveNotice,
        Duration settled,
        double retryRatio,
        Duration retryWindow,
        double retryFixed,
        int partitions) {
    private static final TomlMapper TOML = new TomlMapper();
    private static final double MILLIS = 1_000;
    private static final double USUAL_LEAVE_MILLIS = 2_000;
    private static final double USUAL_SETTLED_MILLIS = 3_000;

    /**
     * Reads the file.
     *
     * @param file the file
     * @return its settings
     * @throws InvalidArgumentException if it cannot be read or a setting is missing or malformed
     */
    public static PlatformSettings read(Path file) {
        try {
            return decode(TOML.readTree(Files.readString(file)));
        } catch (IOException e) {
            throw new InvalidArgumentException("cannot read settings " + file + ": " + e);
        } catch (JsonValue.MalformedException e) {
            throw new InvalidArgumentException("settings " + file + ": " + e.getMessage());
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
                new Address(text(file, "Ip"), file.path("InternalPorts").path(0).asInt()),
                Address.parse(text(store, "Address")),
                seconds(bounds, "GraceS"),
                millis(bounds, "DrainMs", USUAL_LEAVE_MILLIS),
                millis(bounds, "StableWindowMs", USUAL_SETTLED_MILLIS),
                number(bounds, "BudgetRatio", 0),
                seconds(bounds, "BudgetWindowS"),
                number(bounds, "BudgetSlack", 0),
                (int) Math.max(1, whole(store, "parts", 1)));
    }

    private static Duration millis(JsonNode node, String field, double usual) {
        return Duration.ofMillis(Math.round(number(node, field, usual)));
    }

    private static Duration seconds(JsonNode node, String field) {
        return Duration.ofMillis(Math.round(number(node, field, 0) * MILLIS));
    }
}
