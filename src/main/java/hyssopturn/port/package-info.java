/**
 * Narrow interfaces to everything outside the process: platform, engines, services, peers and time.
 */
package hyssopturn.port;
