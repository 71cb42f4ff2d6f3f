package hyssopturn.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

import java.util.List;

class RequestTraceTest {
    private static final String CONFIG =
            "{\"wall_ms\":1,\"node\":\"n1\",\"event\":\"ConfigInForce\",\"version\":4}";
    private static final String OTHER_NODE =
            "{\"wall_ms\":2,\"node\":\"n2\",\"event\":\"ConfigInForce\",\"version\":5}";
    private static final String OFFERED =
            "  1.5 n1 {\"wall_ms\":1500,\"node\":\"n1\",\"event\":\"Offered\",\"request\":\"r1\","
                    + "\"endpoint\":\"e1\",\"chain\":\"e1=0-4,e2=4-8\"}";
    private static final String SUSPECT =
            "{\"wall_ms\":1600,\"node\":\"n1\",\"event\":\"EndpointChanged\",\"endpoint\":\"e2\"}";
    private static final String LISTED =
            "{\"wall_ms\":1400,\"node\":\"n1\",\"event\":\"EndpointsListed\",\"endpoints\":[\"e9\",\"e2\"]}";
    private static final String UNUSED =
            "{\"wall_ms\":1600,\"node\":\"n1\",\"event\":\"EndpointChanged\",\"endpoint\":\"e9\"}";
    private static final String ENDED =
            "{\"wall_ms\":1700,\"node\":\"n1\",\"event\":\"Ended\",\"request\":\"r1\","
                    + "\"outcome\":\"broken\",\"status\":200,\"cause\":\"engine stalled\"}";

    @Test
    void holdsTheRequestsLinesAndTheStateBehindItsDecisions() {
        RequestTrace trace =
                RequestTrace.of(
                        "r1", List.of(ENDED, OFFERED, UNUSED, SUSPECT, LISTED, OTHER_NODE, CONFIG));
        assertThat(
                trace.lines().stream().map(l -> l.path("event").asText()).toList(),
                equalTo(
                        List.of(
                                "ConfigInForce",
                                "EndpointsListed",
                                "Offered",
                                "EndpointChanged",
                                "Ended")));
        assertThat(trace.summary(), containsString("engine stalled"));
    }

    @Test
    void skipsIncompleteAndForeignLines() {
        RequestTrace trace =
                RequestTrace.of("r1", List.of("WARNING x", "{\"wall_ms\":12,\"no", ENDED));
        assertThat(trace.found(), is(true));
        assertThat(trace.skipped(), equalTo(2));
    }

    @Test
    void ofAnUnknownRequestIsEmpty() {
        assertThat(RequestTrace.of("r2", List.of(ENDED)).found(), is(false));
    }

    @Test
    void withoutAnEndReportsIt() {
        assertThat(RequestTrace.of("r1", List.of(OFFERED)).summary(), containsString("no end"));
    }
}
