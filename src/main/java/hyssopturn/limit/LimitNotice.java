package hyssopturn.limit;

/** What an answer of an endpoint says about the limit on the requests of all nodes together. */
public sealed interface LimitNotice {
    /**
     * The endpoint names a limit.
     *
     * @param perSecond requests per second that it takes from all nodes together, not negative
     */
    record Limited(double perSecond) implements LimitNotice {}

    /** The endpoint names no limit, so that an earlier one is lifted. */
    record Unlimited() implements LimitNotice {}

    /** The answer says nothing about limits: it may not be the endpoint's, or is malformed. */
    record Unsaid() implements LimitNotice {}
}
