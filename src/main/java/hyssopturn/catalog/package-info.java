/** The operator's configuration as requests see it: routes, services, accounts and limits. */
package hyssopturn.catalog;
