/**
 * Structured log lines: one for each decision about a request and for each change of the node's
 * view of the system.
 */
package hyssopturn.trace;
