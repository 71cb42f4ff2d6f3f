/** Followers of the platform's log streams, and the backoff of their retries. */
package hyssopturn.log;
