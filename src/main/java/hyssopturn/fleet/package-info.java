/** Endpoints that the platform lists, and what requests showed about them. */
package hyssopturn.fleet;
