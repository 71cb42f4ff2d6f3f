package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.RetryPolicy;
import hyssopturn.catalog.Route;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

class ExpectedDurationsTest {
    private static final Duration TARGET = Duration.ofMillis(100);
    private static final Optional<EngineSpec> PLAIN = Optional.empty();

    /** An engine that reads 1,000 tokens a second and writes one in 2 ms; 50 tokens are usual. */
    private static final Optional<EngineSpec> ENGINE =
            Optional.of(
                    new EngineSpec(
                            80, 1, 80, 2, 0, 0, 1_000, 0, 1_000, Duration.ZERO, 10, 50, Map.of()));

    private final ExpectedDurations durations = new ExpectedDurations();

    private static Admitted request(
            String route, long answerTokens, OptionalLong expected, OptionalLong resumeAfter) {
        CallHeaders headers =
                new CallHeaders(
                        Optional.of("r"),
                        Optional.empty(),
                        Optional.empty(),
                        100,
                        answerTokens,
                        expected,
                        List.of(),
                        resumeAfter);
        return new Admitted(
                new Catalog(1, List.of(), List.of(), Optional.empty(), CallerLimits.UNCONFIGURED),
                new Route(
                        route,
                        "h",
                        "/",
                        false,
                        RetryPolicy.NEVER,
                        Duration.ofSeconds(20),
                        TARGET,
                        Duration.ZERO,
                        1,
                        0,
                        true,
                        List.of(new Route.WeightedService("s", 1))),
                "s",
                Optional.empty(),
                headers,
                RequestBody.empty(),
                0);
    }

    private static Admitted request(String route) {
        return request(route, 0, OptionalLong.empty(), OptionalLong.empty());
    }

    private Optional<Long> millis(Admitted request, Optional<EngineSpec> engine) {
        return durations.expected(request, engine).map(Duration::toMillis);
    }

    private void record(
            int count, Admitted request, Optional<EngineSpec> engine, Duration duration) {
        for (int i = 0; i < count; i++) {
            durations.record(request, engine, duration);
        }
    }

    @Nested
    class Stream {
        private final OptionalLong none = OptionalLong.empty();

        @Test
        void thatIsTheFirstIsExpectedToRunAsOnTheReferenceEngine() {
            Admitted request = request("w", 400, OptionalLong.of(200), none);
            assertThat(millis(request, ENGINE), equalTo(Optional.of(500L)));
        }

        @Test
        void isNotLongerThanItsLimit() {
            Admitted request = request("w", 100, OptionalLong.of(200), none);
            assertThat(millis(request, ENGINE), equalTo(Optional.of(300L)));
        }

        @Test
        void withoutAnEstimateHasTheUsualLength() {
            assertThat(millis(request("w", 400, none, none), ENGINE), equalTo(Optional.of(200L)));
        }

        @Test
        void thatIsResumedRunsForItsRest() {
            Admitted request = request("w", 400, OptionalLong.of(200), OptionalLong.of(150));
            assertThat(millis(request, ENGINE), equalTo(Optional.of(200L)));
        }

        @Test
        void isExpectedToBeAsSlowAsTheLastOfItsRoute() {
            record(5, request("w", 400, none, none), ENGINE, Duration.ofMillis(800));
            Admitted request = request("w", 400, OptionalLong.of(200), none);
            assertThat(millis(request, ENGINE), equalTo(Optional.of(2_000L)));
            Admitted other = request("v", 400, OptionalLong.of(200), none);
            assertThat(millis(other, ENGINE), equalTo(Optional.of(500L)));
        }

        @Test
        void isNotJudgedByAFewOthers() {
            record(4, request("w", 400, none, none), ENGINE, Duration.ofMillis(800));
            assertThat(millis(request("w", 400, none, none), ENGINE), equalTo(Optional.of(200L)));
        }
    }

    @Nested
    class PlainRequest {
        @Test
        void ofARouteThatIsNewHasNoExpectedDuration() {
            record(4, request("b"), PLAIN, Duration.ofMillis(30));
            assertThat(millis(request("b"), PLAIN), equalTo(Optional.empty()));
        }

        @Test
        void isExpectedToRunAsLongAsTheLastOfItsRoute() {
            record(5, request("b"), PLAIN, Duration.ofMillis(30));
            assertThat(millis(request("b"), PLAIN), equalTo(Optional.of(30L)));
        }

        @Test
        void isExpectedToRunLongerWhenItsRouteHasBecomeSlow() {
            record(1_000, request("b"), PLAIN, Duration.ofMillis(30));
            record(200, request("b"), PLAIN, Duration.ofMillis(900));
            assertThat(millis(request("b"), PLAIN), equalTo(Optional.of(899L)));
        }
    }

    @Test
    void routeThatIsUnusedForLongestIsForgotten() {
        record(5, request("old"), PLAIN, TARGET);
        for (int i = 0; i < 4_095; i++) {
            record(1, request("r" + i), PLAIN, TARGET);
        }
        assertThat(millis(request("old"), PLAIN), equalTo(Optional.of(100L)));
        record(1, request("one more"), PLAIN, TARGET);
        assertThat(millis(request("old"), PLAIN), equalTo(Optional.empty()));
    }
}
