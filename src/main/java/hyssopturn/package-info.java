/** Router for model pipelines over one pool of mixed accelerators. */
package hyssopturn;
