package hyssopturn.front;

import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;
import hyssopturn.model.RequestId;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/** Error replies and headers shared by all replies. */
final class Reply {
    static final String REQUEST_HEADER = "Hyssopturn-Request";
    static final String OUTCOME_HEADER = "Hyssopturn-Outcome";

    private Reply() {}

    static void problem(RoutingContext routing, int status, Reason reason, String message) {
        send(routing, status, new End(Outcome.NOT_RUN, reason, message, java.time.Duration.ZERO));
    }

    static void end(RoutingContext routing, RequestId request, End end) {
        routing.response().putHeader(REQUEST_HEADER, request.value());
        send(routing, Statuses.of(end), end);
    }

    private static void send(RoutingContext routing, int status, End end) {
        HttpServerResponse response = routing.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status).putHeader(OUTCOME_HEADER, end.outcome().label());
        if (end.retryAfter().isPositive()) {
            long seconds = Math.max(1, end.retryAfter().toSeconds());
            response.putHeader("Retry-After", Long.toString(seconds));
        }
        routing.json(error(end));
    }

    static JsonObject error(End end) {
        return new JsonObject()
                .put("outcome", end.outcome().label())
                .put(
                        "error",
                        new JsonObject()
                                .put("type", end.reason().code())
                                .put("message", end.message()));
    }
}
