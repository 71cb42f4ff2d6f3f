/** Counts of requests that met their latency targets. */
package hyssopturn.metric;
