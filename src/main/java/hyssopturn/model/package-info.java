/** Values and typed errors that every package speaks in. */
package hyssopturn.model;
