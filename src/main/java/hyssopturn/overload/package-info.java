/** Admission of new streams under overload: start, hold or refuse, and when to come back. */
package hyssopturn.overload;
