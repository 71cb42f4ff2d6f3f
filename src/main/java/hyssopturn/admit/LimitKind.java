package hyssopturn.admit;

/** How the number of requests that run at once is limited. */
public enum LimitKind {
    /** A limit that stays as it was set. */
    FIXED,
    /** Grows by a step while the target is met, shrinks by a factor when it is not. */
    AIMD,
    /** Scales with the ratio of target to observed time. */
    GRADIENT
}
