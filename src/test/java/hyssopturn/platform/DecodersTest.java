package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.RetryPolicy;
import hyssopturn.fleet.Endpoint;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.file.Path;
import java.time.Duration;

class DecodersTest {
    @Nested
    class Endpoints {
        private static final String ENTRY =
                """
                {"Service":"w","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":134,
                 "State":"ready","Type":"t4","Layers":{"From":20,"To":31,"Version":1},
                 "Sequence":4,"born":1700000000000}
                """;

        @Test
        void areReadWithTheirLayers() {
            Endpoint endpoint = EndpointDecoder.decode("i-1", Bytes.utf8(ENTRY));
            assertThat(endpoint.layers().orElseThrow().toString(), equalTo("20-31"));
            assertThat(endpoint.incarnation(), equalTo(1_700_000_000_000L));
            assertThat(endpoint.leaving(), is(false));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "no json",
                    "[]",
                    "{\"Service\":7}",
                    "{\"Service\":\"w\",\"Address\":\"x\",\"Zone\":\"z\",\"Slots\":1,"
                            + "\"State\":\"ready\",\"Sequence\":1}",
                    "{\"Service\":\"w\",\"Address\":\"1.2.3.4:5\",\"Zone\":\"z\",\"Slots\":1,"
                            + "\"State\":\"asleep\",\"Sequence\":1}",
                    "{\"Service\":\"w\",\"Address\":\"1.2.3.4:5\",\"Zone\":\"z\",\"Slots\":\"6\","
                            + "\"State\":\"ready\",\"Sequence\":1}"
                })
        void thatAreMalformedAreRejected(String text) {
            assertThrows(
                    JsonValue.MalformedException.class,
                    () -> EndpointDecoder.decode("i-1", Bytes.utf8(text)));
        }
    }

    @Nested
    class Configurations {
        private static final String ROUTE =
                """
                {"Version":9,"Routes":[{"Name":"r","Host":"Town.example","PathPrefix":"/a/",
                 "Type":"%s","TimeoutMs":400,"TargetLatencyMs":100,"StreamResume":%s,
                 "TrafficSplit":[{"Service":"x","Weight":0},{"Service":"y","Weight":1}]}]}
                """;

        private static Catalog decode(String type, boolean resume) {
            return CatalogDecoder.decode(Bytes.utf8(ROUTE.formatted(type, resume)));
        }

        @Test
        void determineWhetherARequestMayBeRepeated() {
            assertThat(repeat("streaming", true), equalTo(RetryPolicy.RESUME));
            assertThat(repeat("streaming", false), equalTo(RetryPolicy.NEVER));
            assertThat(repeat("idempotent", false), equalTo(RetryPolicy.ALWAYS));
            assertThat(repeat("unsafe", false), equalTo(RetryPolicy.NEVER));
        }

        private static RetryPolicy repeat(String type, boolean resume) {
            return decode(type, resume)
                    .route("town.example:80", "/a/b")
                    .orElseThrow()
                    .retryPolicy();
        }

        @Test
        void splitRequestsByWeight() {
            var route = decode("unsafe", false).route("town.example", "/a/").orElseThrow();
            assertThat(route.pickService(0), equalTo("y"));
            assertThat(route.timeout(), equalTo(Duration.ofMillis(400)));
        }
    }

    @Nested
    class Settings {
        @Test
        void areReadFromTheExample() {
            PlatformSettings settings = PlatformSettings.read(Path.of("examples/platform.toml"));
            assertThat(settings.grace(), equalTo(Duration.ofSeconds(8)));
            assertThat(settings.metrics().port(), equalTo(17_340));
        }

        @Test
        void withMissingValuesAreRejected() {
            assertThrows(
                    InvalidArgumentException.class,
                    () -> PlatformSettings.read(Path.of("examples/haven.yaml")));
        }
    }
}
