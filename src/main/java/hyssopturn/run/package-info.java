/** Drivers that run requests on chains of engines or on services, and the store of answers. */
package hyssopturn.run;
