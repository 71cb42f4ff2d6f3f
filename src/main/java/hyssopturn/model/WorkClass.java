package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * A published class of work.
 *
 * @param name its name
 * @param work what runs it
 * @param target what must be met
 * @param share share of requests that must meet the target, above 0 and at most 1
 */
public record WorkClass(ClassName name, Work work, Target target, double share) {
    /** Checks the share. */
    public WorkClass {
        Check.that(share > 0 && share <= 1, "share must be above 0 and at most 1");
    }
}
