/** Selection of the chain of engines that runs a request. */
package hyssopturn.route;
