package hyssopturn.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say about its request.
 *
 * @param id id of this request; a caller that tries again sends another
 * @param patience how long the caller waits, empty if it did not say
 * @param key key of the caller's account
 * @param promptTokens tokens of the prompt, 0 if the caller did not say
 * @param answerTokens greatest number of tokens of the answer, 0 if the caller did not say
 * @param expectedTokens the caller's guess of the answer's tokens, empty if it made none
 * @param resumeAfter last event that the caller has already, empty for a new stream
 */
public record CallHeaders(
        Optional<String> id,
        Optional<Duration> patience,
        Optional<String> key,
        long promptTokens,
        long answerTokens,
        OptionalLong expectedTokens,
        OptionalLong resumeAfter) {}
