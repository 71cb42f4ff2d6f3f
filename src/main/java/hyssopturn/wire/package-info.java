/** Adapters that implement the ports over HTTP. */
package hyssopturn.wire;
