package hyssopturn.ledger;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Agreement over all nodes on which calls have run. */
public interface Ledger {
    /**
     * Claims a call.
     *
     * @param key the call
     * @param body body of the call, to tell a repeat from a conflict
     * @param limit greatest time until the ruling
     * @return the ruling; never fails
     */
    CompletableFuture<Ruling> claim(CallKey key, Bytes body, Duration limit);

    /**
     * Records how a granted call ended; {@code not-run} gives the claim back. The record is retried
     * until it is in the log, through outages too.
     *
     * @param grant the grant
     * @param end how it ended
     * @param body body of its answer, empty if it had none
     * @return completes when the record is in the log
     */
    CompletableFuture<Void> settle(Ruling.Granted grant, AnswerEvent.End end, Bytes body);

    /**
     * Lists claimed calls whose outcome is not in the log, oldest record first.
     *
     * @param minAge least time since the claim; a call that is running now is younger
     * @return the calls
     */
    List<InDoubtCall> inDoubt(Duration minAge);

    /**
     * Counts the keys that are known.
     *
     * @return number of keys
     */
    int size();

    /**
     * Tells whether the ledger has been read whole.
     *
     * @return true once rulings can be given
     */
    boolean ready();
}
