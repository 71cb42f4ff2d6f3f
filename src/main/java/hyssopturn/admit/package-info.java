/** Admission: queues, feasibility, fairness and limits. */
package hyssopturn.admit;
