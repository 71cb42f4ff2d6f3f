package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.CatalogReading;
import hyssopturn.catalog.Priorities;
import hyssopturn.model.Bytes;
import hyssopturn.relay.Attempt;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.MultiMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Guards against requests that engines and the router itself order by a wrong priority. */
class RequestPriorityTest {
    private static CatalogReading read(String routePriority, String accountPriority) {
        String config =
                """
                {"Version":1,
                 "Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Type":"streaming",
                            "StreamResume":true,"TimeoutMs":9000,"TargetLatencyMs":500,
                            "GapAimMs":100,"AnonymousAccess":false,"Service":"w"%s}],
                 "Tenants":[{"Name":"a","ApiKeys":["k"]%s}]}
                """
                        .formatted(field(routePriority), field(accountPriority));
        return CatalogDecoder.decode(Bytes.utf8(config), Optional.empty());
    }

    private static String field(String priority) {
        return priority.isEmpty() ? "" : ",\"Priority\":" + priority;
    }

    private static int effective(Catalog catalog) {
        return Priorities.effective(catalog.route("h", "/").orElseThrow(), catalog.account("k"));
    }

    @Nested
    class OfAnAccount {
        @ParameterizedTest
        @CsvSource({"1,3", "1,0", "7,9"})
        void overridesThatOfItsRoute(String route, int account) {
            assertThat(effective(read(route, "" + account).catalog()), equalTo(account));
        }

        @Test
        void thatIsAbsentLeavesThatOfItsRoute() {
            CatalogReading reading = read("4", "");
            assertThat(effective(reading.catalog()), equalTo(4));
            assertThat(reading.unreadable(), empty());
        }

        @ParameterizedTest
        @ValueSource(strings = {"\"2\"", "2.5", "1e30", "99999999999", "{}", "[2]", "true"})
        void thatIsMalformedIsIgnoredAndReportedOnce(String odd) {
            CatalogReading reading = read("4", odd);
            assertThat(effective(reading.catalog()), equalTo(4));
            assertThat(reading.unreadable(), contains("Priority of 1 of Tenants ignored, first a"));
        }

        @Test
        void thatIsNullCountsAsAbsent() {
            assertThat(read("4", "null").unreadable(), empty());
        }

        @ParameterizedTest
        @CsvSource({"-3,0", "10,9", "2000000000,9"})
        void isLimitedToWhatEnginesKnow(String odd, int limited) {
            assertThat(effective(read("4", odd).catalog()), equalTo(limited));
        }
    }

    @Nested
    class OfARoute {
        @ParameterizedTest
        @ValueSource(strings = {"\"2\"", "2.5", "1e30", "{}", "null", ""})
        void thatIsMalformedCountsAsMostUrgent(String odd) {
            assertThat(effective(read(odd, "").catalog()), equalTo(0));
        }
    }

    @Nested
    class Services {
        @Test
        void haveSeveralPrioritiesOnlyIfTheirRequestsDiffer() {
            Catalog same = read("4", "2").catalog();
            assertThat(same.hasSeveralPriorities("w"), is(false));
            Catalog different =
                    CatalogDecoder.decode(
                                    Bytes.utf8(
                                            """
                                            {"Version":1,
                                             "Routes":[{"Name":"r","Host":"h","PathPrefix":"/",
                                              "Type":"plain","TimeoutMs":9000,
                                              "TargetLatencyMs":500,"AnonymousAccess":true,
                                              "Priority":4,"Service":"w"}],
                                             "Tenants":[{"Name":"a","ApiKeys":["k"],"Priority":2}]}
                                            """),
                                    Optional.empty())
                            .catalog();
            assertThat(different.hasSeveralPriorities("w"), is(true));
            assertThat(different.hasSeveralPriorities("x"), is(false));
        }
    }

    @Nested
    class Headers {
        private static final String NAME = "Hyssopturn-Request-Priority";

        private static MultiMap sent(OptionalInt priority) {
            MultiMap from = MultiMap.caseInsensitiveMultiMap().add("Host", "h").add(NAME, "0");
            MultiMap to = MultiMap.caseInsensitiveMultiMap();
            new PlatformHeaders(new SimpleMeterRegistry())
                    .encode(
                            from,
                            to,
                            new Attempt(
                                    EndpointDecoder.decode(
                                            "i-1",
                                            Bytes.utf8(
                                                    "{\"Service\":\"w\",\"Zone\":\"z\",\"Slots\":1,"
                                                            + "\"Address\":\"1.2.3.4:5\","
                                                            + "\"State\":\"ready\","
                                                            + "\"Sequence\":1}")),
                                    Optional.empty(),
                                    Optional.of(new Account("a", OptionalInt.empty())),
                                    priority,
                                    Duration.ofSeconds(1),
                                    OptionalLong.empty()));
            return to;
        }

        @Test
        void carryThePriorityOfTheRequest() {
            assertThat(sent(OptionalInt.of(3)).getAll(NAME), contains("3"));
        }

        @Test
        void neverCarryTheValueOfACaller() {
            assertThat(sent(OptionalInt.empty()).get(NAME), nullValue());
        }
    }
}
