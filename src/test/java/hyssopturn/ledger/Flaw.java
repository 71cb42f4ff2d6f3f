package hyssopturn.ledger;

/** Seeded fault of the product, which the oracle must catch. */
enum Flaw {
    NONE,
    /** A claim in doubt is taken over once its asker has waited long enough. */
    TIMER_TAKEOVER,
    /** Claims of calls that did not run are never given back. */
    RELEASE_FORGOTTEN,
    /** A call whose answer was lost is sent again. */
    SENT_AGAIN,
    /** Records dropped by the log are not missed, and nothing is written anew. */
    RETENTION_IGNORED,
    /** An append whose answer was lost counts as refused. */
    LOST_APPEND_REFUSED,
    /** A call whose answer was lost counts as refused. */
    LOST_CALL_REFUSED,
    /** A call is sent though the log did not confirm its claim in time. */
    UNCONFIRMED_SENT
}
