/** Planning of which engine holds which layers, versions and adapters, and the orders for it. */
package hyssopturn.place;
