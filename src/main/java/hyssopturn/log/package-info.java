/** Following and appending to streams of the platform's log. */
package hyssopturn.log;
