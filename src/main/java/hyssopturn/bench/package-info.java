/** Load and measurements on small stand-ins, against the best that these could do. */
package hyssopturn.bench;
