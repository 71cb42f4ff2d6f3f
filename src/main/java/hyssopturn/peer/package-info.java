/** Links between nodes over TCP, and the wire form of what goes over them. */
package hyssopturn.peer;
