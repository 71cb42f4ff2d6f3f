/** Quarantine of parts of prompts that make engines crash. */
package hyssopturn.quarantine;
