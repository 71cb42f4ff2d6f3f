/** Filter chain that every request passes. */
package hyssopturn.filter;
