/** Which engine should hold which layers, versions and adapters, and the orders towards that. */
package hyssopturn.place;
