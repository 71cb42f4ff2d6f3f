/** HTTP server for callers and operators. */
package hyssopturn.front;
