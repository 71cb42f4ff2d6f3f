package hyssopturn.relay;

import hyssopturn.model.Address;

import java.util.Optional;
import java.util.Set;

/**
 * Decoded head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param notRun true if the endpoint states that it has not run the request and will not run it
 * @param signed true if the answer has the endpoint's signature header
 * @param requestId id of the request that is answered, empty if the answer has none
 * @param failedEngine address of the engine that made the chain fail, empty if the answer has none
 * @param notice what the endpoint says about itself
 */
public record EndpointReply(
        int status,
        boolean notRun,
        boolean signed,
        Optional<String> requestId,
        Optional<Address> failedEngine,
        EndpointNotice notice) {
    private static final int SUCCESS_LOW = 200;
    private static final int SUCCESS_HIGH = 299;
    private static final int SERVER_ERROR = 500;
    private static final int HIGHEST_STATUS = 599;
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

    /**
     * Returns whether the endpoint reports success.
     *
     * @return true for a 2xx status
     */
    public boolean success() {
        return status >= SUCCESS_LOW && status <= SUCCESS_HIGH;
    }

    /**
     * Returns whether the endpoint states that it has not run a request and will not run it. The
     * refusal of another request proves nothing about this one. A connection carries one request
     * only, so a refusal without an id is this request's.
     *
     * @param id id of the request
     * @return true if the answer is a refusal and has no other request's id
     */
    public boolean refuses(Optional<String> id) {
        return notRun && !ofOtherRequest(id);
    }

    private boolean ofOtherRequest(Optional<String> id) {
        return requestId.isPresent() && !requestId.equals(id);
    }

    /**
     * Returns whether the status implies that the request did not run, while the endpoint does not
     * state this. If such a status were passed on, the caller might send the request again although
     * it ran.
     *
     * @return true if the status must not be passed on to the caller
     */
    public boolean unprovedRefusal() {
        return !notRun && REFUSALS.contains(status);
    }

    /**
     * Returns whether the endpoint reports a server error.
     *
     * @return true for a 5xx status
     */
    public boolean failure() {
        return status >= SERVER_ERROR;
    }

    /**
     * Returns whether the answer is the final one to a request and comes from an endpoint.
     *
     * @param id id of the request
     * @return true if the answer is signed, has the status of a final answer and no other request's
     *     id
     */
    public boolean matches(Optional<String> id) {
        boolean last = status >= SUCCESS_LOW && status <= HIGHEST_STATUS;
        return last && signed && !ofOtherRequest(id);
    }
}
