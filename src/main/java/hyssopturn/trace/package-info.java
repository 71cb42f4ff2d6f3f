/** Structured log lines: one for each decision that touches a request or changes a belief. */
package hyssopturn.trace;
