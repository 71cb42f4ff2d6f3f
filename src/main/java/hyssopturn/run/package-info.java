/** Drivers that run a request through its chain and keep its answer. */
package hyssopturn.run;
