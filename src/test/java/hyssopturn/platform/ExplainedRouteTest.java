package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import hyssopturn.relay.RouteExplanation;
import hyssopturn.relay.RouteQuery;
import hyssopturn.relay.UnknownRouteException;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;

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

    /** Returns the explanation, or the error that is given in its place. */
    private Object ask(RouteQuery query) {
        return harness.onRelay(
                relay -> {
                    try {
                        return relay.explain(query);
                    } catch (UnknownRouteException e) {
                        return e;
                    }
                });
    }

    private RouteExplanation explain(RouteQuery query) {
        return (RouteExplanation) ask(query);
    }

    private String error(RouteQuery query) {
        return ((UnknownRouteException) ask(query)).getMessage();
    }

    /** Returns the chains or endpoints that requests were sent to, in order. */
    private List<String> offered() {
        return harness.events().stream()
                .filter(TraceEvent.Offered.class::isInstance)
                .map(TraceEvent.Offered.class::cast)
                .map(e -> e.chain().isEmpty() ? e.endpoint() : e.chain())
                .toList();
    }

    @Test
    void aStreamGetsTheChainThatWasExplained() {
        harness.engine("e1", 0, 50, r -> stream(r));
        harness.engine("e2", 50, 80, r -> stream(r));
        harness.engine("e3", 0, 40, r -> stream(r));
        RouteExplanation explained = explain(query("/write/x", "ann"));
        assertThat(explained.decision(), equalTo("start"));
        assertThat(offered(), hasSize(0));
        assertThat(harness.heldTokens(), equalTo(0.0));
        assertThat(harness.call("/write/x", Map.of()).status(), equalTo(200));
        assertThat(offered(), equalTo(List.of(explained.chosen())));
        assertThat(
                explained.passedOver(),
                equalTo(List.of(new RouteExplanation.PassedOver("e3", "a", "others preferred"))));
    }

    @Test
    void aPlainRequestGetsTheEndpointThatWasExplained() {
        harness.service("p1", r -> RelayHarness.signed(r).end("found"));
        harness.service("p2", r -> RelayHarness.signed(r).end("found"));
        RouteExplanation explained = explain(query("/find/x", "ann"));
        assertThat(offered(), hasSize(0));
        harness.call("/find/x", Map.of());
        assertThat(offered(), equalTo(List.of(explained.chosen())));
    }

    @Test
    void aRequestThatNoEngineCanServeIsRefusedAsExplained() {
        harness.engine("e1", 0, 50, r -> stream(r));
        RouteExplanation explained = explain(query("/write/x", "ann"));
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
