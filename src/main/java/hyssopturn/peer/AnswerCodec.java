package hyssopturn.peer;

import com.google.protobuf.ByteString;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;
import hyssopturn.peer.generated.AnswerPart;
import hyssopturn.peer.generated.EndPart;
import hyssopturn.peer.generated.TokenPart;

import java.time.Duration;
import java.util.Arrays;

/** Wire form of events of answers. */
final class AnswerCodec {
    private AnswerCodec() {}

    static AnswerPart encode(AnswerEvent event) {
        AnswerPart.Builder part = AnswerPart.newBuilder();
        switch (event) {
            case AnswerEvent.Token(int index, String text) ->
                    part.setToken(TokenPart.newBuilder().setIndex(index).setText(text));
            case AnswerEvent.Body(Bytes body) -> part.setBody(ByteString.copyFrom(body.toArray()));
            case AnswerEvent.End end ->
                    part.setEnd(
                            EndPart.newBuilder()
                                    .setOutcome(end.outcome().label())
                                    .setReason(end.reason().code())
                                    .setMessage(end.message())
                                    .setRetryAfterMillis(end.retryAfter().toMillis()));
        }
        return part.build();
    }

    static AnswerEvent decode(AnswerPart part) {
        return switch (part.getPartCase()) {
            case TOKEN ->
                    new AnswerEvent.Token(part.getToken().getIndex(), part.getToken().getText());
            case BODY -> new AnswerEvent.Body(Bytes.wrap(part.getBody().toByteArray()));
            case END -> end(part.getEnd());
            case PART_NOT_SET ->
                    AnswerEvent.End.unknown("the answer has a part that this node cannot read");
        };
    }

    /** An outcome or a reason of a later version reads as unknown, which claims nothing. */
    private static AnswerEvent.End end(EndPart end) {
        Outcome outcome =
                Arrays.stream(Outcome.values())
                        .filter(o -> o.label().equals(end.getOutcome()))
                        .findFirst()
                        .orElse(Outcome.UNKNOWN);
        Reason reason =
                Arrays.stream(Reason.values())
                        .filter(r -> r.code().equals(end.getReason()))
                        .findFirst()
                        .orElse(Reason.IN_DOUBT);
        return new AnswerEvent.End(
                outcome, reason, end.getMessage(), Duration.ofMillis(end.getRetryAfterMillis()));
    }
}
