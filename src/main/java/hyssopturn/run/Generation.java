package hyssopturn.run;

import hyssopturn.helper.Check;
import hyssopturn.model.AccountId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.RequestId;
import hyssopturn.model.WorkClass;

/**
 * A request to generate tokens.
 *
 * @param request id of the request
 * @param account account of the caller
 * @param workClass class of the work
 * @param model model that generates the answer
 * @param prompt ids of the prompt's tokens
 * @param prefix hash of the prompt's prefix
 * @param maxTokens greatest number of tokens of the answer
 * @param arrivedNanos time of arrival in nanoseconds, on the node's monotonic clock
 */
public record Generation(
        RequestId request,
        AccountId account,
        WorkClass workClass,
        ModelSpec model,
        Prompt prompt,
        long prefix,
        int maxTokens,
        long arrivedNanos) {
    /** Checks that the answer may have at least one token. */
    public Generation {
        Check.that(maxTokens > 0, "max tokens must be positive");
    }
}
