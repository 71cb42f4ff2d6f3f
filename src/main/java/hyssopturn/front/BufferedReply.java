package hyssopturn.front;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.RequestId;

import io.smallrye.mutiny.Multi;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;

/** Buffers an answer and sends it as a single JSON body. */
final class BufferedReply {
    private final RoutingContext routing;
    private final Context context;
    private final RequestId request;
    private final CompletionFormat format;
    private final String model;
    private final StringBuilder text = new StringBuilder();
    private Bytes body;
    private int tokens;

    BufferedReply(
            RoutingContext routing, RequestId request, CompletionFormat format, String model) {
        this.routing = routing;
        this.request = request;
        this.format = format;
        this.model = model;
        context = routing.vertx().getOrCreateContext();
    }

    void send(Multi<AnswerEvent> answer) {
        answer.subscribe().with(event -> context.runOnContext(ignored -> onEvent(event)));
    }

    private void onEvent(AnswerEvent event) {
        switch (event) {
            case AnswerEvent.Token token -> {
                text.append(token.text());
                tokens++;
            }
            case AnswerEvent.Body(Bytes bytes) -> body = bytes;
            case End end -> end(end);
        }
    }

    private void end(End end) {
        if (end.outcome() != Outcome.DONE) {
            Reply.end(routing, request, end);
            return;
        }
        if (routing.response().ended() || routing.response().closed()) {
            return;
        }
        routing.response()
                .putHeader(Reply.REQUEST_HEADER, request.value())
                .putHeader(Reply.OUTCOME_HEADER, end.outcome().label());
        if (body != null) {
            routing.response()
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(body.toArray()));
        } else {
            routing.json(format.completion(request.value(), model, text.toString(), tokens));
        }
    }
}
