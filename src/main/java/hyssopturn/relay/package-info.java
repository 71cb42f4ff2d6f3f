/**
 * Request path: accepts requests of callers, forwards them to endpoints and returns the answers.
 */
package hyssopturn.relay;
