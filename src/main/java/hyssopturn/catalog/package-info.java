/**
 * The part of the operator's configuration that applies to requests: routes, services, accounts and
 * limits.
 */
package hyssopturn.catalog;
