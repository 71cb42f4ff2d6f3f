/** Argument checks shared by every package. */
package hyssopturn.helper;
