/** Admission control: queues, deadlines, fairness and concurrency limits. */
package hyssopturn.admit;
