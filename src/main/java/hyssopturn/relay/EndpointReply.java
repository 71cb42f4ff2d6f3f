package hyssopturn.relay;

import hyssopturn.model.Address;

import java.util.Optional;
import java.util.Set;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status HTTP status
 * @param notRun true if the endpoint did not run the request and will not
 * @param signed true if the answer bears the endpoint's signature
 * @param request id of the request that it answers, empty if it names none
 * @param fault address of the engine that made the chain fail, empty if none is named
 */
public record EndpointReply(
        int status,
        boolean notRun,
        boolean signed,
        Optional<String> request,
        Optional<Address> fault) {
    private static final int SUCCESS_LOW = 200;
    private static final int SUCCESS_HIGH = 299;
    private static final int SERVER_ERROR = 500;
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

    /**
     * Tells whether the endpoint reports success.
     *
     * @return true for a 2xx status
     */
    public boolean success() {
        return status >= SUCCESS_LOW && status <= SUCCESS_HIGH;
    }

    /**
     * Tells whether the status promises that the request did not run, while the endpoint does not
     * say so. Passed on, it would mislead the caller into sending the request again.
     *
     * @return true if the status must not reach the caller
     */
    public boolean unprovedRefusal() {
        return !notRun && REFUSALS.contains(status);
    }

    /**
     * Tells whether the endpoint failed.
     *
     * @return true for a 5xx status
     */
    public boolean failure() {
        return status >= SERVER_ERROR;
    }

    /**
     * Tells whether the answer belongs to a request and comes from an endpoint.
     *
     * @param id id of the request
     * @return true if it is signed and names no other request
     */
    public boolean answers(Optional<String> id) {
        return signed && (request.isEmpty() || request.equals(id));
    }
}
