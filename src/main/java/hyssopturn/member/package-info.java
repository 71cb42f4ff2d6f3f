/** Which nodes and endpoints exist, which are suspected and which are leaving. */
package hyssopturn.member;
