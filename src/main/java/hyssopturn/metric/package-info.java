/** Counting of what the targets ask for. */
package hyssopturn.metric;
