package hyssopturn.relay;

import hyssopturn.catalog.Account;
import hyssopturn.chain.EngineChain;
import hyssopturn.fleet.Endpoint;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One attempt to have an endpoint run a request.
 *
 * @param endpoint the endpoint that the request is sent to
 * @param chain engines that run it, empty for a plain service
 * @param account account of the caller
 * @param patience how long the endpoint may work on it
 * @param resumeAfter last event that is not wanted again, empty to begin at the first
 */
public record Offer(
        Endpoint endpoint,
        Optional<EngineChain> chain,
        Optional<Account> account,
        Duration patience,
        OptionalLong resumeAfter) {}
