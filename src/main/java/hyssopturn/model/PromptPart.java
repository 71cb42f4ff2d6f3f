package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Part of a prompt; requests whose prompts begin alike share their first parts.
 *
 * @param id identifies the content of the part, never blank
 * @param tokens number of its tokens, 0 if not given
 */
public record PromptPart(String id, long tokens) {
    /** Checks the id. */
    public PromptPart {
        Check.notBlank(id, "prompt part");
    }
}
