/** Adapter for the users' platform: its settings file, log store, headers, endpoints and orders. */
package hyssopturn.platform;
