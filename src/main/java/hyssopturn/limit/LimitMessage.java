package hyssopturn.limit;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.Optional;

/** Message between two nodes about the limits of endpoints. */
public sealed interface LimitMessage {
    /** A node that has just started asks for the limits that the receiver knows. */
    record Hello() implements LimitMessage {}

    /**
     * A node heard that a limit has changed.
     *
     * @param start start of the endpoint
     * @param heard what it heard
     */
    record Heard(EndpointStart start, HeardLimit heard) implements LimitMessage {}

    /**
     * A node asks whether it may send one request.
     *
     * @param id number by which it recognizes the reply
     * @param start start of the endpoint
     * @param heard what the node knows of the limit
     * @param deputy true if the issuer does not answer, and the receiver is its deputy
     */
    record Ask(long id, EndpointStart start, HeardLimit heard, boolean deputy)
            implements LimitMessage {}

    /**
     * The answer to a question.
     *
     * @param id number of the question
     * @param start start of the endpoint
     * @param heard what the issuer knows of the limit
     * @param verdict whether the request may be sent
     * @param pause time after which to ask again, zero if the request may be sent
     * @param issuer node that issues the grants, empty if it is the sender or not known
     */
    record Reply(
            long id,
            EndpointStart start,
            HeardLimit heard,
            Verdict verdict,
            Duration pause,
            Optional<Address> issuer)
            implements LimitMessage {
        Reply redirectedTo(Optional<Address> other) {
            return new Reply(id, start, heard, verdict, pause, other);
        }
    }

    /** Whether a request may be sent. */
    enum Verdict {
        /** One request may be sent now. */
        GRANTED,
        /** The limit is reached. */
        NO_ROOM,
        /** Another node issues the grants for this endpoint. */
        NOT_ISSUER
    }
}
