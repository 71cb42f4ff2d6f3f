package hyssopturn.trace;

import java.util.List;

/** An event of the structured log; the record's simple name is the event's name. */
public sealed interface TraceEvent {
    /**
     * The process started.
     *
     * @param zone its availability zone
     * @param front address that accepts callers' requests
     * @param version version of the program
     */
    record Started(String zone, String front, String version) implements TraceEvent {}

    /**
     * The process is stopping or has stopped.
     *
     * @param phase {@code draining} or {@code stopped}
     * @param running number of requests in progress
     */
    record Stopping(String phase, int running) implements TraceEvent {}

    /**
     * The settings file was read again.
     *
     * @param changed true if its contents changed
     */
    record Reloaded(boolean changed) implements TraceEvent {}

    /**
     * A dependency became unavailable or available again.
     *
     * @param name name of the dependency
     * @param state {@code lost}, {@code regained}, or {@code restored} from a copy
     * @param detail description of the error
     */
    record Dependency(String name, String state, String detail) implements TraceEvent {}

    /**
     * A version of the configuration came into force.
     *
     * @param version number of the version
     * @param routes number of its routes
     * @param accounts true if callers need keys
     */
    record ConfigInForce(long version, int routes, boolean accounts) implements TraceEvent {}

    /**
     * A record of a stream could not be decoded and was skipped.
     *
     * @param stream the stream
     * @param key key of the record
     * @param offset offset of the record in the stream
     * @param detail description of the error
     */
    record Malformed(String stream, String key, long offset, String detail) implements TraceEvent {}

    /**
     * The state of an endpoint changed.
     *
     * @param endpoint the endpoint
     * @param service its service
     * @param state new state: {@code listed}, {@code gone}, {@code suspect}, {@code leaving}
     * @param layers layers that it holds
     * @param cause reason of the change
     */
    record EndpointChanged(
            String endpoint, String service, String state, String layers, String cause)
            implements TraceEvent {}

    /**
     * Many endpoints were listed or changed their layers since the last read of their stream.
     *
     * @param endpoints the endpoints
     * @param layers layers that each of them holds, in the same order; empty text if none
     */
    record EndpointsListed(List<String> endpoints, List<String> layers) implements TraceEvent {}

    /**
     * This node gained or lost the placement duty.
     *
     * @param held true if it holds the duty now
     * @param fence its fencing token
     */
    record Duty(boolean held, long fence) implements TraceEvent {}

    /**
     * This node's share of the resources that all nodes use together changed.
     *
     * @param share the share, from 0 to 1
     * @param nodes estimated number of nodes that share them
     */
    record ShareDealt(double share, double nodes) implements TraceEvent {}

    /**
     * An engine was ordered to hold layers.
     *
     * @param endpoint the engine
     * @param layers the layers
     * @param fence fencing token of the order
     * @param result the engine's answer to the order
     */
    record Ordered(String endpoint, String layers, long fence, String result)
            implements TraceEvent {}

    /**
     * The layers that a zone's engines hold changed, as the node that places them knows them.
     *
     * @param service name of the service
     * @param zone the zone
     * @param missing number of layers without an engine there
     * @param room requests of mean size that fit at the layer with the least memory
     */
    record ZoneCovered(String service, String zone, int missing, int room) implements TraceEvent {}

    /**
     * A request was offered to an endpoint.
     *
     * @param request id of the request
     * @param attempt number of the attempt, from 1
     * @param endpoint first endpoint
     * @param chain engines and layers of the chain, empty for a plain service
     * @param after last event that the caller received, -1 if none
     * @param promptTokens tokens of the prompt
     * @param answerTokens greatest number of tokens of the answer
     * @param leftMillis time limit passed to the endpoint, in milliseconds
     * @param reach zones of the chain's engines: {@code own zone}, {@code other zone} or {@code
     *     several zones}; empty for a plain service
     * @param zoneTokens estimate of the tokens held by the requests of all nodes of the zone when
     *     the chain was chosen
     */
    record Offered(
            String request,
            int attempt,
            String endpoint,
            String chain,
            long after,
            long promptTokens,
            long answerTokens,
            long leftMillis,
            String reach,
            long zoneTokens)
            implements TraceEvent {}

    /**
     * Admission control held, started after a wait, or refused a new stream.
     *
     * @param request id of the request
     * @param decision {@code held}, {@code started} or {@code refused}
     * @param cause why the stream was refused, empty otherwise
     * @param priority its priority, 0 is the most urgent
     * @param tokens tokens that it may hold at each engine
     * @param held number of held streams of the service
     * @param usedTokens tokens in use at the layer with the least memory left
     * @param limitTokens tokens that may be used there
     * @param shared true if the use is known from all nodes, false if it is estimated
     * @param ageMillis age of what is known of other nodes, in milliseconds
     * @param waitedMillis time since the request arrived, in milliseconds
     */
    record AdmissionDecided(
            String request,
            String decision,
            String cause,
            int priority,
            long tokens,
            int held,
            long usedTokens,
            long limitTokens,
            boolean shared,
            long ageMillis,
            long waitedMillis)
            implements TraceEvent {}

    /**
     * The event loop ran a task late, after it had been on time.
     *
     * @param lateMillis how late, in milliseconds
     */
    record LoopDelayed(long lateMillis) implements TraceEvent {}

    /**
     * An attempt failed, was given up, or is slow and goes on beside the next one.
     *
     * @param request id of the request
     * @param attempt number of the attempt
     * @param endpoint first endpoint
     * @param cause kind of the failure
     * @param fault engine that failed or refused, empty if it is the first endpoint or unknown
     * @param mayHaveRun false if the endpoint's answer or the connection proves that the request
     *     did not run
     * @param suspected true if the next attempt follows only because an endpoint was silent, false
     *     if an answer or the connection shows that this one failed
     * @param next decision that followed
     * @param parts ids of the prompt's parts that other requests may share, in order
     */
    record AttemptFailed(
            String request,
            int attempt,
            String endpoint,
            String cause,
            String fault,
            boolean mayHaveRun,
            boolean suspected,
            String next,
            List<String> parts)
            implements TraceEvent {}

    /**
     * An attempt goes on although an endpoint is suspected, since it could not be replaced.
     *
     * @param request id of the request
     * @param attempt number of the attempt
     * @param endpoint first endpoint
     * @param cause kind of the suspicion
     * @param fault engine that is suspected, empty if it is the first endpoint
     * @param obstacle why the endpoint could not be replaced
     */
    record AttemptKept(
            String request,
            int attempt,
            String endpoint,
            String cause,
            String fault,
            String obstacle)
            implements TraceEvent {}

    /**
     * A stream that began and lost its engines waits until it may go on elsewhere.
     *
     * @param request id of the request
     * @param obstacle what stands in the way of a retry now
     * @param patienceMillis longest wait that still serves the caller, in milliseconds
     */
    record RetryDeferred(String request, String obstacle, long patienceMillis)
            implements TraceEvent {}

    /**
     * The wait of a stream for its retry ended, other than with its request.
     *
     * @param request id of the request
     * @param outcome {@code went on}, or what stood in the way until the end
     * @param waitedMillis length of the wait, in milliseconds
     */
    record DeferralEnded(String request, String outcome, long waitedMillis) implements TraceEvent {}

    /**
     * A request ended.
     *
     * @param request id of the request
     * @param route its route, empty if none was found
     * @param account its account, empty if none was found
     * @param outcome outcome for the caller
     * @param status status of the answer
     * @param cause reason of the outcome, empty for a success
     * @param attempts number of attempts
     * @param firstMillis time to the first part of the answer, in milliseconds, -1 if none
     * @param pauseMillis longest time between parts of the answer, in milliseconds, 0 if there is
     *     only one part
     * @param totalMillis time to the end, in milliseconds
     * @param config version of the configuration that applied
     * @param configAgeMillis time since that version was last confirmed, in milliseconds
     */
    record Ended(
            String request,
            String route,
            String account,
            String outcome,
            int status,
            String cause,
            int attempts,
            long firstMillis,
            long pauseMillis,
            long totalMillis,
            long config,
            long configAgeMillis)
            implements TraceEvent {}

    /**
     * An engine ended while requests of this node were about to begin there.
     *
     * @param engine the engine
     * @param incarnation time of its start, in milliseconds since 1970
     * @param requests for each request, ids of its suspected parts
     */
    record CrashEvidence(String engine, long incarnation, List<String> requests)
            implements TraceEvent {}

    /**
     * A part of prompts is in quarantine, since engines ended when requests with it were to begin.
     *
     * @param part id of the part
     * @param crashes number of crashes that it is blamed for
     * @param durationMillis length of the quarantine, in milliseconds
     * @param engine engine that ended last
     * @param cause who saw that
     */
    record PartQuarantined(
            String part, int crashes, long durationMillis, String engine, String cause)
            implements TraceEvent {}

    /**
     * Requests began with parts that were suspected of crashes, so the parts are sound.
     *
     * @param parts ids of the parts
     * @param cause who saw that
     */
    record PartsCleared(List<String> parts, String cause) implements TraceEvent {}

    /**
     * Streams whose chains begin at an engine made no progress.
     *
     * @param engine first engine of the chains
     * @param requests ids of the streams
     * @param waitsFor engine that they wait for, empty if the first engine names none
     */
    record Stalled(String engine, List<String> requests, String waitsFor) implements TraceEvent {}

    /**
     * A running stream was moved to other engines after its first one.
     *
     * @param request id of the request
     * @param chain the new chain
     * @param cause reason of the move
     * @param done false if the first engine did not accept the move
     */
    record Rerouted(String request, String chain, String cause, boolean done)
            implements TraceEvent {}

    /**
     * The part of a zone's requests that goes to another zone changed notably.
     *
     * @param service name of the service
     * @param from zone of the clients
     * @param to zone of the engines
     * @param part the part, from 0 to 1
     */
    record ZoneFlowChanged(String service, String from, String to, double part)
            implements TraceEvent {}

    /**
     * A library or a helper class logged something.
     *
     * @param level level of the message
     * @param logger name of the logger
     * @param message text of the message
     * @param error the error that was logged with it, empty if none
     */
    record LibraryMessage(String level, String logger, String message, String error)
            implements TraceEvent {}

    /**
     * Lines were dropped because they exceeded the limits of the log.
     *
     * @param lines number of dropped lines
     */
    record Dropped(long lines) implements TraceEvent {}
}
