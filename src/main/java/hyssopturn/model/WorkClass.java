package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * A published class of work.
 *
 * @param name name of the class
 * @param work how its requests are served
 * @param target latency target
 * @param share fraction of requests that must meet the target, above 0 and at most 1
 */
public record WorkClass(ClassName name, Work work, Target target, double share) {
    /** Checks the share. */
    public WorkClass {
        Check.that(share > 0 && share <= 1, "share must be above 0 and at most 1");
    }
}
