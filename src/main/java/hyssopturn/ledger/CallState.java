package hyssopturn.ledger;

/**
 * What the log says of one claimed call.
 *
 * @param body body of the call
 * @param claim the claim that owns it
 * @param claimedMillis elapsed time of the ledger when it was claimed, in milliseconds
 * @param progress how far it has come
 * @param writtenAt offset of the newest record that holds all of this
 * @param writtenMillis elapsed time of the ledger at that record, in milliseconds
 */
record CallState(
        Fingerprint body,
        ClaimId claim,
        long claimedMillis,
        Progress progress,
        long writtenAt,
        long writtenMillis) {}
