package hyssopturn.relay;

import hyssopturn.model.PromptPart;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decoded headers of a caller's request.
 *
 * @param id id of the request; a caller that retries sends a new id
 * @param timeout how long the caller waits for the answer, empty if not given
 * @param key key of the caller's account
 * @param promptTokens number of tokens of the prompt, 0 if not given
 * @param answerTokens maximum number of tokens of the answer, 0 if not given
 * @param expectedTokens the caller's estimate of the number of tokens of the answer, empty if not
 *     given
 * @param promptParts parts of the prompt in order, empty if not given
 * @param resumeAfter id of the last event that the caller has, empty for a new stream
 */
public record CallHeaders(
        Optional<String> id,
        Optional<Duration> timeout,
        Optional<String> key,
        long promptTokens,
        long answerTokens,
        OptionalLong expectedTokens,
        List<PromptPart> promptParts,
        OptionalLong resumeAfter) {
    /** Copies the list of parts. */
    public CallHeaders {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the ids of the parts that other requests may share; the last part is the request's or
     * its session's own.
     *
     * @return the ids in order, each once
     */
    public List<String> sharedParts() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::id)
                .distinct()
                .toList();
    }
}
