/**
 * Chains of engines that pass a request on to each other, and the placement of layers on engines.
 */
package hyssopturn.chain;
