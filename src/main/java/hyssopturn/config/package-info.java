/** Configuration documents and the fold over the log that decides which is in force. */
package hyssopturn.config;
