package hyssopturn.relay;

import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.fleet.Endpoint;
import hyssopturn.limit.EndpointLimits;
import hyssopturn.load.LoadView;
import hyssopturn.port.Clock;
import hyssopturn.port.LivenessProbe;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.trace.TraceLog;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Dependencies shared by all requests of a node.
 *
 * @param routingState configuration and endpoints known to the node
 * @param headerCodec reads and writes the headers exchanged with callers and endpoints
 * @param client opens requests to endpoints
 * @param clock clock and timer, whose tasks run on the node's event loop
 * @param random random number generator
 * @param retryBudget limits how often requests are sent again
 * @param load load that this node's requests put on engines
 * @param loads what is known of the load of all nodes
 * @param zoneLinks this node's share of the capacity of the links between zones
 * @param liveness checks whether an engine accepts connections
 * @param loopLag delays of this node's event loop; while it is delayed, a timeout does not show
 *     that an endpoint failed
 * @param faultReports receives engines that do not accept connections or that another engine waits
 *     for
 * @param answerMemory limits the incomplete answers that the node holds
 * @param limits limits that endpoints named on the requests of all nodes together
 * @param notices receives what endpoints say about themselves
 * @param prompts parts of prompts that make engines crash
 * @param trace structured log
 * @param meters registry of counters and timers
 * @param settings settings of the request path
 */
public record RelayContext(
        RoutingState routingState,
        HeaderCodec headerCodec,
        EndpointClient client,
        Clock clock,
        RandomGenerator random,
        RetryBudget retryBudget,
        EngineLoad load,
        LoadView loads,
        InterZoneBudget zoneLinks,
        LivenessProbe liveness,
        LoopLag loopLag,
        Consumer<Endpoint> faultReports,
        AnswerMemory answerMemory,
        EndpointLimits limits,
        EndpointNotices notices,
        PromptGuard prompts,
        TraceLog trace,
        MeterRegistry meters,
        RelaySettings settings) {
    /**
     * Returns the same dependencies with copies of the counts that a choice of endpoints changes,
     * so that one can be tried without effect.
     *
     * @param draws random number generator of the trial
     * @return the dependencies of the trial
     */
    RelayContext forDryRun(RandomGenerator draws) {
        return new RelayContext(
                routingState,
                headerCodec,
                client,
                clock,
                draws,
                retryBudget,
                load.copy(draws),
                loads,
                zoneLinks.copy(),
                liveness,
                loopLag,
                faultReports,
                answerMemory,
                limits,
                notices,
                prompts,
                trace,
                new SimpleMeterRegistry(),
                settings);
    }

    /**
     * Draws whether an endpoint is considered for a request: always, but during and shortly after a
     * pause that it asked for.
     */
    boolean drawForUse(Endpoint endpoint) {
        double share = routingState.roster().share(endpoint, clock.nanos());
        return share >= 1 || random.nextDouble() < share;
    }
}
