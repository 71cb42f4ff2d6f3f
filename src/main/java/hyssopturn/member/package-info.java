/** Cluster membership: which nodes and endpoints exist, which are suspected or leaving. */
package hyssopturn.member;
