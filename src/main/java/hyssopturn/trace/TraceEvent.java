package hyssopturn.trace;

import java.util.List;

/** Everything that is written to the structured log; the record's name is the event's name. */
public sealed interface TraceEvent {
    /**
     * The process started.
     *
     * @param zone its availability zone
     * @param front address that callers reach
     * @param version version of the program
     */
    record Started(String zone, String front, String version) implements TraceEvent {}

    /**
     * The process begins to stop or has stopped.
     *
     * @param phase {@code draining} or {@code stopped}
     * @param running requests in progress
     */
    record Stopping(String phase, int running) implements TraceEvent {}

    /**
     * The settings file was read again.
     *
     * @param changed true if it differs
     */
    record Reloaded(boolean changed) implements TraceEvent {}

    /**
     * A dependency was lost or regained.
     *
     * @param name the dependency
     * @param state {@code lost} or {@code regained}
     * @param detail what went wrong
     */
    record Dependency(String name, String state, String detail) implements TraceEvent {}

    /**
     * A version of the configuration came into force.
     *
     * @param version the version
     * @param routes number of its routes
     * @param accounts true if callers need keys
     */
    record ConfigInForce(long version, int routes, boolean accounts) implements TraceEvent {}

    /**
     * A record of a stream could not be decoded and was left out.
     *
     * @param stream the stream
     * @param key key of the record
     * @param offset place of the record
     * @param detail what is wrong with it
     */
    record Malformed(String stream, String key, long offset, String detail) implements TraceEvent {}

    /**
     * What is known of an endpoint changed.
     *
     * @param endpoint the endpoint
     * @param service its service
     * @param state what it is now: {@code listed}, {@code gone}, {@code suspect}, {@code leaving}
     * @param layers layers that it holds
     * @param cause why
     */
    record EndpointChanged(
            String endpoint, String service, String state, String layers, String cause)
            implements TraceEvent {}

    /**
     * This node took or lost the duty of placement.
     *
     * @param held true if it holds the duty now
     * @param fence its fencing token
     */
    record Duty(boolean held, long fence) implements TraceEvent {}

    /**
     * This node's part of what all nodes may use together changed.
     *
     * @param share the part, from 0 to 1
     * @param nodes number of nodes that it stands for
     */
    record ShareDealt(double share, double nodes) implements TraceEvent {}

    /**
     * An engine was ordered to hold layers.
     *
     * @param endpoint the engine
     * @param layers the layers
     * @param fence fencing token of the order
     * @param result how the engine took it
     */
    record Ordered(String endpoint, String layers, long fence, String result)
            implements TraceEvent {}

    /**
     * A request was offered to an endpoint.
     *
     * @param request id of the request
     * @param attempt number of the attempt, from 1
     * @param endpoint first endpoint
     * @param chain engines and layers of the chain, empty for a plain service
     * @param after last event that the caller has, -1 if none
     * @param promptTokens tokens of the prompt
     * @param answerTokens greatest number of tokens of the answer
     * @param leftMillis time that the endpoint was given, in milliseconds
     * @param reach where the chain's engines stand: {@code own zone}, {@code other zone} or {@code
     *     several zones}; empty for a plain service
     * @param zoneTokens tokens that all nodes of the zone were taken to hold when the chain was
     *     chosen
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
     * An attempt failed.
     *
     * @param request id of the request
     * @param attempt number of the attempt
     * @param endpoint first endpoint
     * @param cause what happened
     * @param fault engine that failed or refused, empty if it is the first endpoint or not known
     * @param mayHaveRun false if the endpoint said, or the connection shows, that it did not run
     * @param next what was decided
     */
    record AttemptFailed(
            String request,
            int attempt,
            String endpoint,
            String cause,
            String fault,
            boolean mayHaveRun,
            String next)
            implements TraceEvent {}

    /**
     * A request ended.
     *
     * @param request id of the request
     * @param route its route, empty if none was found
     * @param account its account, empty if none was found
     * @param outcome what the caller got
     * @param status status of the answer
     * @param cause why, empty for a success
     * @param attempts number of attempts
     * @param firstMillis time to the first part of the answer, in milliseconds, -1 if none
     * @param pauseMillis longest time between parts of the answer, in milliseconds, 0 if it has one
     * @param totalMillis time to the end, in milliseconds
     * @param config version of the configuration that decided
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
     * Streams that pass an engine made no progress.
     *
     * @param engine first engine of the chains
     * @param requests ids of the streams
     * @param waitsFor engine that they wait for, empty if the first engine names none
     */
    record Stalled(String engine, List<String> requests, String waitsFor) implements TraceEvent {}

    /**
     * A running stream was moved to other engines behind its first one.
     *
     * @param request id of the request
     * @param chain the new chain
     * @param cause why
     * @param done false if the first engine did not take the move
     */
    record Rerouted(String request, String chain, String cause, boolean done)
            implements TraceEvent {}

    /**
     * A library or a helper class logged something.
     *
     * @param level its level
     * @param logger who said so
     * @param message what was said
     * @param error the error that was logged with it, empty if none
     */
    record LibraryMessage(String level, String logger, String message, String error)
            implements TraceEvent {}

    /**
     * Lines were left out because more were due than the log takes.
     *
     * @param lines how many
     */
    record Dropped(long lines) implements TraceEvent {}
}
