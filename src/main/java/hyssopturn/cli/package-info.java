/** Command line. */
package hyssopturn.cli;
