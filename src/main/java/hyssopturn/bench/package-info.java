/** Load and measurements on small stand-ins. */
package hyssopturn.bench;
