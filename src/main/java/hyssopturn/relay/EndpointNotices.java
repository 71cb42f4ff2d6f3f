package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.limit.EndpointLimits;
import hyssopturn.model.Address;
import hyssopturn.port.Clock;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Records in the roster what endpoints say about themselves in their answers, and logs what
 * changes.
 */
public final class EndpointNotices {
    /** Greatest time since a call was sent that is no request of a caller. */
    private static final Duration MAX_CALL_TIME = Duration.ofSeconds(2);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Roster roster;
    private final EndpointLimits limits;
    private final Clock clock;
    private final TraceLog trace;
    private final MeterRegistry meters;

    /**
     * Creates a recorder.
     *
     * @param roster the endpoints
     * @param limits limits that endpoints named
     * @param clock clock and timer, whose tasks run on the node's event loop
     * @param trace structured log
     * @param meters registry of counters
     */
    public EndpointNotices(
            Roster roster,
            EndpointLimits limits,
            Clock clock,
            TraceLog trace,
            MeterRegistry meters) {
        this.roster = roster;
        this.limits = limits;
        this.clock = clock;
        this.trace = trace;
        this.meters = meters;
    }

    /**
     * Records the notice of an answer to a call that is no request of a caller.
     *
     * @param address address of the endpoint
     * @param notice its notice
     */
    public void record(Address address, EndpointNotice notice) {
        if (!notice.equals(EndpointNotice.NONE)) {
            roster.findByAddress(address)
                    .ifPresent(
                            endpoint ->
                                    record(
                                            endpoint,
                                            notice,
                                            clock.nanos() - MAX_CALL_TIME.toNanos()));
        }
    }

    /**
     * Records the notice in an answer to a request that was sent at a given time, also for an
     * engine that it blames.
     */
    void record(Endpoint endpoint, EndpointReply reply, long begunNanos) {
        record(endpoint, reply.notice(), begunNanos);
        Optional<Duration> pause = reply.notice().pause();
        if (pause.isPresent()) {
            reply.failedEngine()
                    .flatMap(roster::findByAddress)
                    .filter(blamed -> !blamed.id().equals(endpoint.id()))
                    .ifPresent(
                            blamed -> pause(blamed, pause.get(), "asked for by " + endpoint.id()));
        }
    }

    private void record(Endpoint endpoint, EndpointNotice notice, long begunNanos) {
        if (limits.note(endpoint, notice.limit(), begunNanos)) {
            logLimit(endpoint);
        }
        if (notice.shuttingDown() && roster.announceShutdown(endpoint, clock.nanos())) {
            log(endpoint, "leaving", "announced in an answer", "shutdown");
        }
        notice.pause().ifPresent(length -> pause(endpoint, length, "asked for"));
    }

    private void logLimit(Endpoint endpoint) {
        OptionalDouble limit = limits.limit(endpoint);
        if (limit.isPresent()) {
            String cause = "takes %.2f requests/s of all nodes".formatted(limit.getAsDouble());
            log(endpoint, "limited", cause, "limit");
        } else {
            log(endpoint, "listed", "limit is lifted", "limit lifted");
        }
    }

    private void pause(Endpoint endpoint, Duration length, String cause) {
        if (roster.pause(endpoint, length, clock.nanos())) {
            log(endpoint, "paused", cause + ": " + seconds(length) + " s", "pause");
            logReturnAfter(endpoint, length);
        }
    }

    /** Logs that an endpoint is used again, when its pause is over. */
    private void logReturnAfter(Endpoint endpoint, Duration left) {
        clock.after(left, () -> handlePauseEnd(endpoint));
    }

    private void handlePauseEnd(Endpoint endpoint) {
        Optional<Duration> left = roster.pauseLeft(endpoint, clock.nanos());
        if (left.isPresent()) {
            logReturnAfter(endpoint, left.get());
        } else if (roster.lists(endpoint)) {
            log(endpoint, "listed", "pause is over", "return");
        }
    }

    private void log(Endpoint endpoint, String state, String cause, String notice) {
        trace.record(
                new TraceEvent.EndpointChanged(
                        endpoint.id().value(), endpoint.service(), state, "", cause));
        meters.counter("hyssopturn.endpoint.notices", "notice", notice).increment();
    }

    private static double seconds(Duration length) {
        return length.toMillis() / MILLIS_PER_SECOND;
    }
}
