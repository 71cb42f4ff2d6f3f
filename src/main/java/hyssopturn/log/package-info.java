/** Reading of the platform's log: a follower of one stream and the delays of its retries. */
package hyssopturn.log;
