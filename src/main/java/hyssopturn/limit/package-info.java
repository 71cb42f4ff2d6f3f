/** Limits that endpoints name on the requests of all nodes together, and how nodes share them. */
package hyssopturn.limit;
