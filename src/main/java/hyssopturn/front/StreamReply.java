package hyssopturn.front;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Outcome;
import hyssopturn.model.RequestId;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Context;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/** Sends an answer as server-sent events, numbered so that a caller can resume the stream. */
final class StreamReply {
    private final RoutingContext routing;
    private final HttpServerResponse response;
    private final Context context;
    private final RequestId request;
    private final CompletionFormat format;
    private final String model;
    private int index;
    private boolean started;

    StreamReply(
            RoutingContext routing,
            RequestId request,
            CompletionFormat format,
            String model,
            int from) {
        this.routing = routing;
        this.request = request;
        this.format = format;
        this.model = model;
        response = routing.response();
        index = from;
        started = from > 0;
        context = routing.vertx().getOrCreateContext();
    }

    void send(Multi<AnswerEvent> answer) {
        if (started) {
            start();
        }
        Cancellable subscription =
                answer.subscribe().with(event -> context.runOnContext(ignored -> onEvent(event)));
        response.closeHandler(ignored -> subscription.cancel());
    }

    private void start() {
        started = true;
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader(Reply.REQUEST_HEADER, request.value());
    }

    private void onEvent(AnswerEvent event) {
        if (response.ended() || response.closed()) {
            return;
        }
        switch (event) {
            case AnswerEvent.Token token ->
                    write("", format.chunk(request.value(), model, token.text(), null));
            case AnswerEvent.Body(var body) -> write("", new JsonObject(body.text()));
            case End end -> end(end);
        }
    }

    private void write(String name, JsonObject data) {
        if (!started) {
            start();
        }
        String prefix = name.isEmpty() ? "" : "event: " + name + "\n";
        response.write(prefix + "id: " + index + "\ndata: " + data.encode() + "\n\n");
        index++;
    }

    private void end(End end) {
        if (!started && end.outcome() != Outcome.DONE) {
            Reply.end(routing, request, end);
            return;
        }
        if (end.outcome() == Outcome.DONE) {
            JsonObject chunk =
                    format.chunk(request.value(), model, "", "stop")
                            .put("outcome", end.outcome().label());
            write("", chunk);
        } else {
            write("error", Reply.error(end));
        }
        response.end("data: [DONE]\n\n");
    }
}
