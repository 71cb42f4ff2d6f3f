/** The path of a request: from a caller's connection to endpoints and back. */
package hyssopturn.relay;
