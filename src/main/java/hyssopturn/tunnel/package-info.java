/** Connections to endpoints through other nodes, while this node cannot reach them itself. */
package hyssopturn.tunnel;
