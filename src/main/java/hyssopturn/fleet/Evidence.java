package hyssopturn.fleet;

/** What a suspicion that an endpoint has failed is based on. */
public enum Evidence {
    /** Another node reported it; to be confirmed by a check of this node's own. */
    REPORT,

    /** This node could not connect to it. */
    UNREACHABLE,

    /** It refused a connection of this node, so its process has ended. */
    REFUSING,

    /** An engine waits for it, or it did not answer a query. */
    UNRESPONSIVE
}
