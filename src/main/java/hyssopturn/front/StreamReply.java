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

/** Sends an answer as server-sent events, numbered so that a caller can pick it up again. */
final class StreamReply {
    private final RoutingContext x;
    private final HttpServerResponse response;
    private final Context context;
    private final RequestId request;
    private final ChatForm form;
    private final String model;
    private int index;
    private boolean begun;

    StreamReply(RoutingContext x, RequestId request, ChatForm form, String model, int from) {
        this.x = x;
        this.request = request;
        this.form = form;
        this.model = model;
        response = x.response();
        index = from;
        begun = from > 0;
        context = x.vertx().getOrCreateContext();
    }

    void send(Multi<AnswerEvent> answer) {
        if (begun) {
            begin();
        }
        Cancellable reading =
                answer.subscribe().with(event -> context.runOnContext(nothing -> on(event)));
        response.closeHandler(nothing -> reading.cancel());
    }

    private void begin() {
        begun = true;
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader(Reply.REQUEST_HEADER, request.value());
    }

    private void on(AnswerEvent event) {
        if (response.ended() || response.closed()) {
            return;
        }
        switch (event) {
            case AnswerEvent.Token token ->
                    write("", form.chunk(request.value(), model, token.text(), null));
            case AnswerEvent.Body(var body) -> write("", new JsonObject(body.text()));
            case End end -> end(end);
        }
    }

    private void write(String name, JsonObject data) {
        if (!begun) {
            begin();
        }
        String prefix = name.isEmpty() ? "" : "event: " + name + "\n";
        response.write(prefix + "id: " + index + "\ndata: " + data.encode() + "\n\n");
        index++;
    }

    private void end(End end) {
        if (!begun && end.outcome() != Outcome.DONE) {
            Reply.end(x, request, end);
            return;
        }
        if (end.outcome() == Outcome.DONE) {
            JsonObject chunk =
                    form.chunk(request.value(), model, "", "stop")
                            .put("outcome", end.outcome().label());
            write("", chunk);
        } else {
            write("error", Reply.error(end));
        }
        response.end("data: [DONE]\n\n");
    }
}
