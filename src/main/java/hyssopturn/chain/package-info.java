/** Chains of engines that relay a request themselves, and which layers each engine holds. */
package hyssopturn.chain;
