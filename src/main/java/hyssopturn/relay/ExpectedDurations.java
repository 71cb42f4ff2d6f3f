package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.SequencedMap;

/**
 * Expected durations of requests, from their sizes and from the last requests of their routes; not
 * thread-safe.
 *
 * <p>A stream's nominal duration is its time on an unused reference engine, a plain request's is
 * the target of its route. The expected duration is the nominal one times the factor by which the
 * last requests of the route have exceeded theirs.
 */
final class ExpectedDurations {
    /** Weight that the earlier requests of a route keep when another one has ended. */
    private static final double DECAY = 0.95;

    /** Number of requests of a route whose durations make a factor. */
    private static final int MIN_REQUESTS = 5;

    /** Number of routes that are remembered; the one unused for longest is forgotten. */
    private static final int MAX_ROUTES = 4_096;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** The routes, those last with the most recent requests. */
    private final SequencedMap<String, Past> routes = new LinkedHashMap<>();

    /** Weighted sums over the last requests of a route. */
    private record Past(int requests, double nominalNanos, double actualNanos) {
        static final Past NONE = new Past(0, 0, 0);

        Past plus(Duration nominal, Duration actual) {
            return new Past(
                    Math.min(MIN_REQUESTS, requests + 1),
                    DECAY * nominalNanos + nominal.toNanos(),
                    DECAY * actualNanos + actual.toNanos());
        }

        Optional<Double> factor() {
            return requests < MIN_REQUESTS || nominalNanos == 0
                    ? Optional.empty()
                    : Optional.of(actualNanos / nominalNanos);
        }
    }

    /** Records a request that was served. */
    void record(Admitted request, Optional<EngineSpec> engine, Duration actual) {
        String route = request.route().name();
        Past past = routes.getOrDefault(route, Past.NONE);
        routes.putLast(route, past.plus(nominal(request, engine), actual));
        if (routes.size() > MAX_ROUTES) {
            routes.pollFirstEntry();
        }
    }

    /**
     * Returns the expected duration of a request. It is empty for a plain request of a route of
     * which too few have ended: a target does not tell how long requests usually run.
     *
     * @param request the request
     * @param engine sizes and speeds of the engines, empty for a plain request
     */
    Optional<Duration> expected(Admitted request, Optional<EngineSpec> engine) {
        Duration nominal = nominal(request, engine);
        Optional<Double> factor =
                Optional.ofNullable(routes.get(request.route().name())).flatMap(Past::factor);
        return factor.or(() -> engine.map(spec -> 1.0))
                .map(f -> Duration.ofNanos((long) (nominal.toNanos() * f)));
    }

    private static Duration nominal(Admitted request, Optional<EngineSpec> engine) {
        return engine.map(spec -> streamDuration(request.headers(), spec))
                .orElse(request.route().target());
    }

    private static Duration streamDuration(CallHeaders headers, EngineSpec spec) {
        double prefillMillis =
                headers.promptTokens() * MILLIS_PER_SECOND / spec.prefillTokensPerSecond();
        double decodeMillis = tokensLeft(headers, spec) * spec.stepMillis();
        return Duration.ofNanos((long) ((prefillMillis + decodeMillis) * NANOS_PER_MILLI));
    }

    /** Returns the expected tokens of the answer that the caller does not have yet. */
    private static double tokensLeft(CallHeaders headers, EngineSpec spec) {
        double expected =
                headers.expectedTokens().isPresent()
                        ? headers.expectedTokens().getAsLong()
                        : spec.meanAnswerTokens();
        double limit = headers.answerTokens() > 0 ? headers.answerTokens() : expected;
        double received = headers.resumeAfter().isPresent() ? headers.resumeAfter().getAsLong() : 0;
        return Math.max(0, Math.min(expected, limit) - received);
    }
}
