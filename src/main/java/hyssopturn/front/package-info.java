/** HTTP for callers and operators. */
package hyssopturn.front;
