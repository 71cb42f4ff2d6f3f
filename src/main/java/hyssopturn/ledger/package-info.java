/** At-most-once record of calls that must not be repeated. */
package hyssopturn.ledger;
