/** Load of engines and zones by the requests of all nodes, and how nodes share what they know. */
package hyssopturn.load;
