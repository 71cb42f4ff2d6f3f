package hyssopturn.platform;

import static hyssopturn.platform.JsonValue.integer;
import static hyssopturn.platform.JsonValue.text;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import hyssopturn.fleet.Endpoint;
import hyssopturn.helper.Check;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import io.netty.util.NetUtil;

import java.io.IOException;
import java.net.InetAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Decodes the announcements of endpoints from JSON. */
final class EndpointDecoder {
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final String BROADCAST = "255.255.255.255";
    private static final int MAX_NAME_LENGTH = 255;
    private static final int MAX_LAYERS = 100_000;
    private static final Pattern VISIBLE_ASCII = Pattern.compile("[!-~]{1,255}");
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private EndpointDecoder() {}

    /**
     * Decodes an announcement. Any writer of the log may have left it, so every value that this
     * node would use later is checked here.
     */
    static Endpoint decode(String id, Bytes value) {
        try {
            Check.that(VISIBLE_ASCII.matcher(id).matches(), "id must be visible ASCII");
            JsonNode node = JSON.readTree(value.toArray());
            return endpoint(new InstanceId(id), node);
        } catch (IOException | IllegalArgumentException e) {
            throw new JsonValue.MalformedException(e.getMessage());
        }
    }

    private static Endpoint endpoint(InstanceId id, JsonNode node) {
        String state = text(node, "State");
        if (!state.equals(READY) && !state.equals(DRAINING)) {
            throw new JsonValue.MalformedException("State has an unknown value: " + state);
        }
        return new Endpoint(
                id,
                name(node, "Service"),
                address(text(node, "Address")),
                name(node, "Zone"),
                (int) Check.inRange(integer(node, "Slots"), 0, Integer.MAX_VALUE, "Slots"),
                state.equals(DRAINING),
                node.path("Type").asText(""),
                layers(node.path("Layers")),
                Check.inRange(integer(node, "born", 0), 0, Long.MAX_VALUE, "born"),
                integer(node, "Sequence"));
    }

    private static String name(JsonNode node, String field) {
        String name = text(node, field);
        Check.that(name.length() <= MAX_NAME_LENGTH, field + " is too long");
        return name;
    }

    /** Decodes an IP address with a port to which a connection can be made. */
    private static Address address(String text) {
        Address address = Address.parse(text);
        String literal = address.host();
        Check.that(
                NetUtil.isValidIpV4Address(literal) || NetUtil.isValidIpV6Address(literal),
                "Address must be an IP address");
        InetAddress host = InetAddress.ofLiteral(literal);
        boolean single = !host.isAnyLocalAddress() && !host.isMulticastAddress();
        Check.that(single && !literal.equals(BROADCAST), "Address must be of one machine");
        Check.that(address.port() > 0, "Address must have a port");
        return address;
    }

    private static Optional<LayerRange> layers(JsonNode node) {
        if (node.isMissingNode() || node.isNull() || (node.isObject() && node.isEmpty())) {
            return Optional.empty();
        }
        long from = Check.inRange(integer(node, "From"), 0, MAX_LAYERS, "From");
        long to = Check.inRange(integer(node, "To"), from, MAX_LAYERS, "To");
        return to > from ? Optional.of(new LayerRange((int) from, (int) to)) : Optional.empty();
    }
}
