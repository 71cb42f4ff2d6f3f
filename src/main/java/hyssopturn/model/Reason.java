package hyssopturn.model;

/** Why a request ended as it did, as a stable code for callers. */
public enum Reason {
    /** Nothing went wrong. */
    NONE("none"),
    /** The request is malformed. */
    INVALID("invalid-request"),
    /** The caller has no valid bearer token. */
    UNAUTHENTICATED("unauthenticated"),
    /** No such class of work is published. */
    UNKNOWN_CLASS("unknown-class"),
    /** The class must not be repeated and the request has no idempotency key. */
    KEY_REQUIRED("key-required"),
    /** The idempotency key was used before with another body. */
    KEY_CONFLICT("key-conflict"),
    /** There is no capacity to run it within its target. */
    OVERLOADED("overloaded"),
    /** Its target can no longer be met. */
    DEADLINE("deadline"),
    /** No endpoints can run it now. */
    NO_ENDPOINT("no-endpoint"),
    /** This node is shutting down. */
    DRAINING("draining"),
    /** The platform's log cannot be reached. */
    LOG_UNAVAILABLE("log-unavailable"),
    /** An endpoint ran it and failed. */
    ENDPOINT_FAILED("endpoint-failed"),
    /** It may have run; no answer was received. */
    IN_DOUBT("in-doubt"),
    /** No caller was reading the answer any more. */
    CANCELLED("cancelled"),
    /** An internal error of this node. */
    INTERNAL("internal");

    private final String code;

    Reason(String code) {
        this.code = code;
    }

    /**
     * Returns the code that callers see.
     *
     * @return code in lower case
     */
    public String code() {
        return code;
    }
}
