/** Small stand-ins for the platform, engines and services, in memory and over HTTP. */
package hyssopturn.standin;
