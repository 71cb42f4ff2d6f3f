package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.EngineControl;
import hyssopturn.port.FailedException;
import hyssopturn.relay.EndpointNotices;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Reads reports of engines and sends them orders, over HTTP. */
final class HttpEngineControl implements EngineControl {
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(200);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(800);
    private static final Duration REROUTE_TIMEOUT = Duration.ofMillis(300);
    private static final String EXPECTED_INSTANCE = "Hyssopturn-Expect-Instance";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int FENCED = 412;
    private static final int WARN_SECONDS = 10;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCalls calls;
    private final PlatformHeaders headers;
    private final EndpointNotices notices;

    HttpEngineControl(HttpCalls calls, PlatformHeaders headers, EndpointNotices notices) {
        this.calls = calls;
        this.headers = headers;
        this.notices = notices;
    }

    private HttpCalls.Answer noted(Address engine, HttpCalls.Answer answer) {
        notices.record(engine, headers.decodeNotice(answer.status(), answer.headers()));
        return answer;
    }

    @Override
    public CompletableFuture<Map<String, Address>> stalled(Address engine) {
        return calls.call(
                        HttpMethod.GET,
                        engine,
                        "/v1/report",
                        Map.of(),
                        Buffer.buffer(),
                        REPORT_TIMEOUT)
                .thenApply(answer -> noted(engine, answer))
                .thenApply(HttpEngineControl::stalled);
    }

    private static Map<String, Address> stalled(HttpCalls.Answer answer) {
        if (answer.status() != OK) {
            throw new FailedException("engine report has status " + answer.status());
        }
        try {
            Map<String, Address> waitsFor = new HashMap<>();
            for (JsonNode item : JSON.readTree(answer.body().getBytes()).path("Stalled")) {
                add(item, waitsFor);
            }
            return waitsFor;
        } catch (IOException e) {
            throw new FailedException("engine report cannot be decoded: " + e.getMessage());
        }
    }

    private static void add(JsonNode item, Map<String, Address> waitsFor) {
        try {
            Address address = Address.parse(JsonValue.text(item, "Address"));
            waitsFor.put(JsonValue.text(item, "Id"), address);
        } catch (IllegalArgumentException | JsonValue.MalformedException e) {
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "engine report has a malformed item, which is left out: %.500s",
                    e.getMessage());
        }
    }

    @Override
    public CompletableFuture<Boolean> reroute(
            Address engine, InstanceId id, String request, List<Hop> hops) {
        String path =
                hops.stream()
                        .map(hop -> hop.address() + "=" + hop.range())
                        .collect(Collectors.joining(","));
        JsonObject order =
                new JsonObject().put("Operation", "repath").put("Id", request).put("Path", path);
        return order(engine, id, order, REROUTE_TIMEOUT)
                .thenApply(answer -> answer.status() == OK || answer.status() == ACCEPTED);
    }

    @Override
    public CompletableFuture<OrderResult> place(
            Address engine, InstanceId id, LayerRange range, Passing passing, long fence) {
        JsonObject order =
                new JsonObject()
                        .put("Operation", "place")
                        .put("From", range.from())
                        .put("To", range.to())
                        .put("Strategy", passing == Passing.CUT_OFF ? "truncate" : "queue")
                        .put("FenceToken", fence);
        return order(engine, id, order, ORDER_TIMEOUT)
                .thenApply(
                        answer ->
                                switch (answer.status()) {
                                    case OK, ACCEPTED -> OrderResult.ACCEPTED;
                                    case FENCED -> OrderResult.FENCED;
                                    default -> OrderResult.CONFLICT;
                                });
    }

    private CompletableFuture<HttpCalls.Answer> order(
            Address engine, InstanceId id, JsonObject order, Duration timeout) {
        Map<String, String> fields =
                Map.of("Content-Type", "application/json", EXPECTED_INSTANCE, id.value());
        return calls.call(HttpMethod.POST, engine, "/v1/order", fields, order.toBuffer(), timeout)
                .thenApply(answer -> noted(engine, answer));
    }
}
