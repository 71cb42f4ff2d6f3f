package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.relay.RouteExplanation;
import hyssopturn.relay.RouteQuery;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

/** Guards against explanations that differ from what happens to the request, or that change it. */
class ExplainedRouteTest {
    private final RelayHarness harness = new RelayHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    private static RouteQuery query(String path, String account) {
        return new RouteQuery("town.example", path, account, 10, 10, "");
    }

    private String error(RouteQuery query) {
        return assertThrows(CompletionException.class, () -> harness.explain(query))
                .getCause()
                .getMessage();
    }

    @Test
    void aStreamGetsTheChainThatWasExplained() {
        harness.engine("e1", 0, 50, r -> stream(r));
        harness.engine("e2", 50, 80, r -> stream(r));
        harness.engine("e3", 0, 40, r -> stream(r));
        RouteExplanation explained = harness.explain(query("/write/x", "ann"));
        assertThat(explained.decision(), equalTo("start"));
        assertThat(harness.offered(), hasSize(0));
        assertThat(harness.heldTokens(), equalTo(0.0));
        assertThat(harness.call("/write/x", Map.of()).status(), equalTo(200));
        assertThat(harness.offered(), equalTo(List.of(explained.chosen())));
        assertThat(
                explained.passedOver(),
                equalTo(List.of(new RouteExplanation.PassedOver("e3", "a", "others preferred"))));
    }

    @Test
    void aPlainRequestGetsTheEndpointThatWasExplained() {
        harness.service("p1", r -> RelayHarness.signed(r).end("found"));
        harness.service("p2", r -> RelayHarness.signed(r).end("found"));
        RouteExplanation explained = harness.explain(query("/find/x", "ann"));
        assertThat(harness.offered(), hasSize(0));
        harness.call("/find/x", Map.of());
        assertThat(harness.offered(), equalTo(List.of(explained.chosen())));
    }

    @Test
    void aRequestThatNoEngineCanServeIsRefusedAsExplained() {
        harness.engine("e1", 0, 50, r -> stream(r));
        RouteExplanation explained = harness.explain(query("/write/x", "ann"));
        assertThat(explained.decision(), equalTo("refuse"));
        var answer = harness.call("/write/x", Map.of());
        assertThat(answer.status(), equalTo(503));
        double seconds = Double.parseDouble(answer.headers().get("Retry-After"));
        assertThat((long) (seconds * 1_000), equalTo(explained.retryAfterMillis()));
    }

    @Test
    void whatIsNotKnownIsNamed() {
        assertThat(error(query("/none/x", "ann")), containsString("no route for host"));
        assertThat(error(query("/find/x", "bob")), equalTo("no account bob"));
        assertThat(error(query("/find/x", "")), equalTo("route f needs an account"));
        assertThat(
                error(new RouteQuery("town.example", "/find/x", "ann", 1, 1, "z")),
                equalTo("this node is in zone a; ask a node of zone z"));
    }

    private static void stream(HttpServerRequest request) {
        RelayHarness.signed(request).setChunked(true).end("id: 0\ndata: t\n\n");
    }
}
