/** Bounded ring of typed events for the time line. */
package hyssopturn.event;
