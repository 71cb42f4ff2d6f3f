package hyssopturn.platform;

import static hyssopturn.platform.JsonValue.bool;
import static hyssopturn.platform.JsonValue.integer;
import static hyssopturn.platform.JsonValue.number;
import static hyssopturn.platform.JsonValue.text;

import com.fasterxml.jackson.databind.JsonNode;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.RetryPolicy;
import hyssopturn.catalog.Route;
import hyssopturn.catalog.ServiceSpec;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Decodes single entries of the operator's configuration; a malformed one is rejected. */
final class CatalogEntries {
    private static final String PRIORITY = "Priority";
    private static final String STREAMING = "streaming";
    private static final String IDEMPOTENT = "idempotent";
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final long DEFAULT_BODY_BYTES = 1L << 22;
    private static final long DEFAULT_HEADER_MILLIS = 10_000;
    private static final long DEFAULT_IDLE_MILLIS = 15_000;

    private CatalogEntries() {}

    static Route route(JsonNode node) {
        String type = text(node, "Type");
        boolean streaming = type.equals(STREAMING);
        return new Route(
                text(node, "Name"),
                text(node, "Host").toLowerCase(Locale.ROOT),
                text(node, "PathPrefix"),
                streaming,
                repeat(node, type),
                timeout(node),
                millis(node, "TargetLatencyMs"),
                millis(node, "GapAimMs"),
                (int) Math.max(1, integer(node, "MaxAttempts", 1)),
                priority(node).orElse(0),
                bool(node, "AnonymousAccess"),
                shares(node));
    }

    private static RetryPolicy repeat(JsonNode node, String type) {
        if (type.equals(STREAMING)) {
            return bool(node, "StreamResume") ? RetryPolicy.RESUME : RetryPolicy.NEVER;
        }
        return type.equals(IDEMPOTENT) ? RetryPolicy.ALWAYS : RetryPolicy.NEVER;
    }

    private static List<Route.WeightedService> shares(JsonNode node) {
        if (!node.path("TrafficSplit").isArray() || node.path("TrafficSplit").isEmpty()) {
            return List.of(new Route.WeightedService(text(node, "Service"), 1));
        }
        List<Route.WeightedService> shares = new ArrayList<>();
        for (JsonNode share : node.path("TrafficSplit")) {
            shares.add(
                    new Route.WeightedService(text(share, "Service"), number(share, "Weight", 0)));
        }
        return shares;
    }

    static ServiceSpec service(JsonNode node) {
        JsonNode engine = node.path("Engine");
        if (!engine.isObject() && !engine.isMissingNode() && !engine.isNull()) {
            throw new JsonValue.MalformedException("Engine must be an object");
        }
        return new ServiceSpec(
                text(node, "Name"),
                engine.has("Layers") ? Optional.of(engine(engine)) : Optional.empty());
    }

    private static EngineSpec engine(JsonNode node) {
        Map<String, EngineKind> kinds = new HashMap<>();
        for (JsonNode kind : node.path("Kinds")) {
            String name = text(kind, "Name");
            kinds.put(
                    name,
                    new EngineKind(
                            name,
                            number(kind, "SizeMb", 0),
                            number(kind, "pace", 1),
                            number(kind, "ReadX", 1)));
        }
        double loadSeconds = number(node.path("Models").path(0), "LoadS", 0);
        JsonNode usual = node.path("usual");
        return new EngineSpec(
                (int) integer(node, "Layers"),
                number(node, "LayerMb", 1),
                number(node, "KvTokenBytes", 1),
                number(node, "step_ms", 1),
                number(node, "per_seq_ms", 0),
                number(node, "context_per_k", 0),
                number(node, "read_per_s", 1),
                number(node, "ActivationBytes", 0),
                number(node, "PipeMbps", 1),
                Duration.ofMillis(Math.round(loadSeconds * MILLIS_PER_SECOND)),
                number(usual, "prompt", 0),
                number(usual, "answer", 0),
                kinds);
    }

    static CallerLimits limits(JsonNode node) {
        return new CallerLimits(
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                integer(node, "MaxHeaderBytes", DEFAULT_HEADER_BYTES)),
                integer(node, "MaxBodyBytes", DEFAULT_BODY_BYTES),
                Duration.ofMillis(integer(node, "HeaderTimeoutMs", DEFAULT_HEADER_MILLIS)),
                Duration.ofMillis(integer(node, "IdleTimeoutMs", DEFAULT_IDLE_MILLIS)));
    }

    /** Returns the priority of a route or an account; a malformed one counts as absent. */
    static OptionalInt priority(JsonNode node) {
        JsonNode value = node.path(PRIORITY);
        return value.isIntegralNumber() && value.canConvertToInt()
                ? OptionalInt.of(value.asInt())
                : OptionalInt.empty();
    }

    /** Returns whether an entry has a priority that cannot be read. */
    static boolean malformedPriority(JsonNode node) {
        JsonNode value = node.path(PRIORITY);
        return !value.isMissingNode() && !value.isNull() && priority(node).isEmpty();
    }

    private static Duration timeout(JsonNode node) {
        long millis = integer(node, "TimeoutMs");
        if (millis <= 0) {
            throw new JsonValue.MalformedException("TimeoutMs must be positive");
        }
        return Duration.ofMillis(millis);
    }

    private static Duration millis(JsonNode node, String field) {
        return Duration.ofMillis(integer(node, field, 0));
    }
}
