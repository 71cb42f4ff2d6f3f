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

/** Sends an answer in one piece. */
final class WholeReply {
    private final RoutingContext x;
    private final Context context;
    private final RequestId request;
    private final ChatForm form;
    private final String model;
    private final StringBuilder text = new StringBuilder();
    private Bytes body;
    private int tokens;

    WholeReply(RoutingContext x, RequestId request, ChatForm form, String model) {
        this.x = x;
        this.request = request;
        this.form = form;
        this.model = model;
        context = x.vertx().getOrCreateContext();
    }

    void send(Multi<AnswerEvent> answer) {
        answer.subscribe().with(event -> context.runOnContext(nothing -> on(event)));
    }

    private void on(AnswerEvent event) {
        switch (event) {
            case AnswerEvent.Token token -> {
                text.append(token.text());
                tokens++;
            }
            case AnswerEvent.Body(Bytes given) -> body = given;
            case End end -> end(end);
        }
    }

    private void end(End end) {
        if (end.outcome() != Outcome.DONE) {
            Reply.end(x, request, end);
            return;
        }
        if (x.response().ended() || x.response().closed()) {
            return;
        }
        x.response()
                .putHeader(Reply.REQUEST_HEADER, request.value())
                .putHeader(Reply.OUTCOME_HEADER, end.outcome().label());
        if (body != null) {
            x.response()
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(body.toArray()));
        } else {
            x.json(form.whole(request.value(), model, text.toString(), tokens));
        }
    }
}
