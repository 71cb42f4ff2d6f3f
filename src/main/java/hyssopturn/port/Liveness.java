package hyssopturn.port;

/** What a liveness probe of an endpoint has shown. */
public enum Liveness {
    /** The endpoint accepted a connection. */
    LISTENS,

    /** The endpoint refused a connection. */
    REFUSED,

    /** The endpoint was silent while another endpoint answered. */
    FAILED,

    /** The endpoint was silent, and so was another one: the prober's own network may be slow. */
    UNKNOWN
}
