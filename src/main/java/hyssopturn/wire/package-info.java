/** Adapters of the ports over HTTP, and the HTTP front for callers. */
package hyssopturn.wire;
