package hyssopturn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import hyssopturn.Processes.Running;
import hyssopturn.cli.Program;
import hyssopturn.filter.Credentials;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.TimeUnit;

/** Bookings while processes die and the platform is down. */
class LedgerProcessTest {
    private static final String TOKEN =
            new Credentials("trial-accounts").token(new AccountId("ana"));
    private static final int TRIES = 200;
    private static final int PAUSE_MILLIS = 50;
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private final Processes processes = new Processes();
    private Address platform;
    private Running service;
    private Running first;
    private Running second;

    @BeforeEach
    void start() throws Exception {
        platform = processes.start("standin", "platform").address();
        String flag = "--platform=" + platform;
        service = processes.start("standin", "service", flag, "--id=dispatch-1");
        first = processes.start("node", flag, "--id=node-1");
        second = processes.start("node", flag, "--id=node-2");
        Program.run("config", "publish", flag, "src/main/resources/hyssopturn/try.yaml");
        await(first);
        await(second);
    }

    @AfterEach
    void stop() {
        processes.close();
    }

    private void await(Running node) throws Exception {
        for (int i = 0; i < TRIES; i++) {
            JsonObject status = new JsonObject(get(node.address(), "/v1/status"));
            if (status.getJsonObject("ledger").getBoolean("ready")
                    && status.getLong("config") > 0
                    && status.getJsonArray("services").size() == 1) {
                return;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        throw new AssertionError("node is not ready");
    }

    private static String get(Address at, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + at + path)).build();
        return HTTP.send(request, BodyHandlers.ofString()).body();
    }

    private static HttpRequest booking(Running node, String key) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + node.address() + "/v1/calls/shipment-booking"))
                .header("Authorization", "Bearer " + TOKEN)
                .header("Idempotency-Key", key)
                .POST(BodyPublishers.ofString("{\"crate\":7}"))
                .build();
    }

    private static String outcome(Running node, String key) throws Exception {
        HttpResponse<String> answer = HTTP.send(booking(node, key), BodyHandlers.ofString());
        return answer.headers().firstValue("Hyssopturn-Outcome").orElse("none");
    }

    private int seen(String key) throws Exception {
        JsonArray calls =
                new JsonObject(get(service.address(), "/v1/journal")).getJsonArray("calls");
        return (int)
                calls.stream().filter(c -> key.equals(((JsonObject) c).getString("key"))).count();
    }

    private void faults(JsonObject faults) throws Exception {
        HTTP.send(
                HttpRequest.newBuilder(URI.create("http://" + platform + "/v1/faults"))
                        .header("Content-Type", "application/json")
                        .PUT(BodyPublishers.ofString(faults.encode()))
                        .build(),
                BodyHandlers.ofString());
    }

    private static int inDoubt(Running node) throws Exception {
        return new JsonObject(get(node.address(), "/v1/status"))
                .getJsonObject("ledger")
                .getInteger("inDoubt");
    }

    private static void awaitInDoubt(Running node) throws Exception {
        for (int i = 0; i < TRIES && inDoubt(node) == 0; i++) {
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat("calls in doubt", inDoubt(node), is(1));
    }

    @Test
    void aNodeLostBetweenCallAndOutcomeLeavesACallInDoubt() throws Exception {
        Processes.signal(service.process(), "STOP");
        HTTP.sendAsync(booking(first, "a"), BodyHandlers.ofString());
        awaitClaim();
        first.process().destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        Processes.signal(service.process(), "CONT");
        assertThat(outcome(second, "a"), is("unknown"));
        assertThat(seen("a"), lessThanOrEqualTo(1));
        awaitInDoubt(second);
    }

    private void awaitClaim() throws Exception {
        for (int i = 0; i < TRIES; i++) {
            JsonObject status = new JsonObject(get(second.address(), "/v1/status"));
            if (status.getJsonObject("ledger").getInteger("keys") > 0) {
                return;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        throw new AssertionError("no claim");
    }

    @Test
    void aNodeLostBetweenClaimAndCallLeavesNothingToRunTwice() throws Exception {
        faults(new JsonObject().put("latencyMillis", 1_000));
        HTTP.sendAsync(booking(first, "b"), BodyHandlers.ofString());
        Thread.sleep(1_500);
        first.process().destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        faults(new JsonObject());
        assertThat(outcome(second, "b"), not("not-run"));
        assertThat(seen("b"), lessThanOrEqualTo(1));
    }

    @Test
    void anOutageRefusesBookingsAndEndsSoonAfterThePlatformIsBack() throws Exception {
        faults(new JsonObject().put("down", true));
        assertThat(outcome(first, "c"), is("not-run"));
        assertThat(seen("c"), is(0));
        faults(new JsonObject());
        String outcome = "not-run";
        for (int i = 0; i < TRIES && outcome.equals("not-run"); i++) {
            outcome = outcome(second, "c");
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(outcome, is("done"));
        assertThat(outcome(first, "c"), is("done"));
        assertThat(seen("c"), is(1));
    }
}
