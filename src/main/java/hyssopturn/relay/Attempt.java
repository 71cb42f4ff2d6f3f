package hyssopturn.relay;

import hyssopturn.catalog.Account;
import hyssopturn.chain.EngineChain;
import hyssopturn.fleet.Endpoint;
import hyssopturn.trace.TraceEvent;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * One attempt to run a request at an endpoint.
 *
 * @param endpoint the endpoint that the request is sent to
 * @param chain engines that run the request, empty for a plain service
 * @param account account of the caller
 * @param priority priority of the request, empty if it is not passed on
 * @param timeout how long the endpoint may work on the request
 * @param resumeAfter id of the last event that the caller has, empty to start at the first event
 */
public record Attempt(
        Endpoint endpoint,
        Optional<EngineChain> chain,
        Optional<Account> account,
        OptionalInt priority,
        Duration timeout,
        OptionalLong resumeAfter) {
    /** Describes for the log that a request is offered to the endpoint. */
    TraceEvent.Offered offered(int number, Admitted admitted, String ownZone, long zoneTokens) {
        return new TraceEvent.Offered(
                admitted.id(),
                number,
                endpoint.id().value(),
                chain.map(Object::toString).orElse(""),
                resumeAfter.orElse(-1),
                admitted.headers().promptTokens(),
                admitted.headers().answerTokens(),
                timeout.toMillis(),
                chain.map(c -> c.reach(ownZone)).orElse(""),
                zoneTokens);
    }
}
