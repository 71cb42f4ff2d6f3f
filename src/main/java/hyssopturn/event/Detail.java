package hyssopturn.event;

import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;

/** What happened. */
public sealed interface Detail {
    /**
     * Names the kind of event.
     *
     * @return lower-case name
     */
    default String what() {
        return switch (this) {
            case Arrived d -> "arrived";
            case Ended d -> "ended";
            case AttemptBegan d -> "attempt";
            case EndpointFailed d -> "endpoint-failed";
            case Claim d -> "claim";
            case ConfigInForce d -> "config";
            case InstanceChanged d -> "instance";
            case NodeState d -> "node";
        };
    }

    /**
     * A request came in.
     *
     * @param account account of the caller
     * @param workClass class of the work
     */
    record Arrived(AccountId account, ClassName workClass) implements Detail {}

    /**
     * A request ended.
     *
     * @param outcome how
     * @param reason why
     * @param message detail for people
     */
    record Ended(Outcome outcome, Reason reason, String message) implements Detail {}

    /**
     * An attempt began.
     *
     * @param attempt its number, from 1
     * @param chain endpoints in order, for people
     */
    record AttemptBegan(int attempt, String chain) implements Detail {}

    /**
     * A call to an endpoint failed.
     *
     * @param endpoint the endpoint
     * @param error what went wrong, for people
     */
    record EndpointFailed(InstanceId endpoint, String error) implements Detail {}

    /**
     * A claim was made, granted or settled.
     *
     * @param state what became of it
     */
    record Claim(String state) implements Detail {}

    /**
     * A configuration came into force.
     *
     * @param version its version
     */
    record ConfigInForce(long version) implements Detail {}

    /**
     * An instance appeared, left or changed.
     *
     * @param instance the instance
     * @param state its new state, for people
     */
    record InstanceChanged(InstanceId instance, String state) implements Detail {}

    /**
     * This node changed its own state.
     *
     * @param state the new state
     */
    record NodeState(String state) implements Detail {}
}
