/** Assembly of a node from its parts. */
package hyssopturn.node;
