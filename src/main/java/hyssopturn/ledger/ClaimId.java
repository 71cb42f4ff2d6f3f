package hyssopturn.ledger;

/**
 * Names a claim.
 *
 * @param author process that claimed, unique for ever
 * @param number number of the claim among those of its author, from 1
 */
record ClaimId(String author, long number) {}
