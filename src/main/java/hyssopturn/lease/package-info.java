/** Leases in the platform's log, whose terms serve as fencing numbers. */
package hyssopturn.lease;
