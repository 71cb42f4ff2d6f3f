package hyssopturn.relay;

import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.fleet.Endpoint;
import hyssopturn.port.Clock;
import hyssopturn.port.Liveness;
import hyssopturn.trace.TraceLog;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.http.HttpClient;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * What all requests of a node share.
 *
 * @param knowledge what the node knows
 * @param dialect headers of callers and endpoints
 * @param client connections to endpoints
 * @param clock time, whose tasks run on the node's event loop
 * @param random random numbers
 * @param retries how often requests may be sent again
 * @param load what this node has at engines
 * @param pipes this node's part of the pipes between zones
 * @param liveness finds out whether an engine listens
 * @param lag tells whether this node ran on time, so that a timeout proves something
 * @param faults gets engines that another engine found unreachable
 * @param trace structured log
 * @param meters counters and histograms
 * @param settings settings
 */
public record RelayParts(
        Knowledge knowledge,
        Dialect dialect,
        HttpClient client,
        Clock clock,
        RandomGenerator random,
        RetryAllowance retries,
        EngineLoad load,
        InterZoneBudget pipes,
        Liveness liveness,
        LoopLag lag,
        Consumer<Endpoint> faults,
        TraceLog trace,
        MeterRegistry meters,
        RelaySettings settings) {}
