package hyssopturn.admit;

/** Algorithm that limits the number of requests that run at once. */
public enum LimitKind {
    /** Limit that never changes. */
    FIXED,
    /** Limit that grows by a step while the target is met and shrinks by a factor when not. */
    AIMD,
    /** Limit that scales with the ratio of allowed to observed latency. */
    GRADIENT
}
