/** Endpoints that the platform lists, and their state as requests have found it. */
package hyssopturn.fleet;
