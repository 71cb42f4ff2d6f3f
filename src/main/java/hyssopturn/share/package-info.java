/**
 * Shared reading of the platform's store: a few nodes read its streams and tell the other ones what
 * has changed.
 */
package hyssopturn.share;
