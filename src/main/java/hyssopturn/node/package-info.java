/** Assembly of nodes from their components. */
package hyssopturn.node;
