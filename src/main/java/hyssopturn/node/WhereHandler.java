package hyssopturn.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.relay.RouteExplanation;
import hyssopturn.relay.RouteQuery;
import hyssopturn.relay.UnknownRouteException;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import java.util.Map;
import java.util.Optional;

/** Answers questions about the routing of a request, in JSON. */
final class WhereHandler {
    static final String PATH = "/where";

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final ObjectMapper mapper = new ObjectMapper();
    private final Explainer explainer;

    WhereHandler(Explainer explainer) {
        this.explainer = explainer;
    }

    /** Tells how a request would be routed. */
    @FunctionalInterface
    interface Explainer {
        RouteExplanation explain(RouteQuery query) throws UnknownRouteException;
    }

    void handle(HttpServerRequest request) {
        HttpServerResponse response =
                request.response().putHeader("Content-Type", "application/json");
        try {
            RouteQuery query =
                    new RouteQuery(
                            text(request, "host"),
                            text(request, "path"),
                            text(request, "account"),
                            tokens(request, "prompt"),
                            tokens(request, "answer"),
                            text(request, "zone"));
            response.end(mapper.writeValueAsString(explainer.explain(query)));
        } catch (NumberFormatException e) {
            fail(response, BAD_REQUEST, "prompt and answer must be numbers of at least 0");
        } catch (UnknownRouteException e) {
            fail(response, NOT_FOUND, e.getMessage());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void fail(HttpServerResponse response, int status, String error) {
        response.setStatusCode(status).end(mapper.valueToTree(Map.of("error", error)).toString());
    }

    private static String text(HttpServerRequest request, String name) {
        return Optional.ofNullable(request.getParam(name)).orElse("");
    }

    private static long tokens(HttpServerRequest request, String name) {
        String text = text(request, name);
        return text.isEmpty() ? 0 : parse(text);
    }

    private static long parse(String text) {
        int number = Integer.parseInt(text);
        if (number < 0) {
            throw new NumberFormatException(text);
        }
        return number;
    }
}
