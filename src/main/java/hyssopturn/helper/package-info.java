/** Argument checks, units and error utilities shared by all packages. */
package hyssopturn.helper;
