package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import hyssopturn.model.LayerRange;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Names of client accounts, which endpoints tell accounts apart by. */
class AccountNamesTest {
    /** Writes also what UTF-8 cannot, such as half of a surrogate pair. */
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    private static final String SIGNED = "HTTP/1.1 200 OK\r\nHyssopturn-Server-Seal: s\r\n";
    private static final String FOUND = SIGNED + "Content-Length: 5\r\n\r\nfound";
    private static final String EVENTS = SIGNED + "\r\nid: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    private static final String REFUSED =
            "HTTP/1.1 503 Busy\r\nHyssopturn-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String NAME_HEADER = "hyssopturn-tenant: ";
    private static final Optional<LayerRange> ALL = Optional.of(new LayerRange(0, 80));
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;

    /** Guards against names that reach endpoints as the same bytes, or as others than their own. */
    @Nested
    class OnTheWire {
        private final RelayHarness harness = new RelayHarness();
        private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

        @AfterEach
        void close() {
            harness.close();
            vertx.close().await();
        }

        private RawServer start(String id, String answer, Optional<LayerRange> layers) {
            return endpoint(harness, vertx, id, answer, layers);
        }

        private int status(String path, String key) {
            return harness.call(path, Map.of("X-Api-Key", key)).status();
        }

        private void checkNames(List<RawServer> servers, String name) {
            String bytes =
                    new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            List<String> seen = namesAt(servers);
            assertThat(seen, not(hasSize(0)));
            assertThat(seen, everyItem(equalTo(bytes)));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "ann",
                    "a b~!",
                    "100%",
                    "?",
                    "Ren\u00e9e",
                    "\u00c3\u00a9",
                    "\u0424\u0438\u043b\u0438\u0430\u043b \u0412\u0430\u0440\u043d\u0430",
                    "\u0424\u0438\u043b\u0438\u0430\u043b \u0421\u043e\u0444\u0438\u044f",
                    "\u6771\u4eac",
                    "\ud83e\udd8b",
                    "\u00a0a\u2028",
                    "a\tb"
                })
        void areTheirUtf8FormInPlainCallsReroutesAndStreams(String name) {
            List<RawServer> servers =
                    List.of(
                            start("a", REFUSED, Optional.empty()),
                            start("b", FOUND, Optional.empty()),
                            start("c", EVENTS, ALL));
            harness.configureAccounts(accountArray(name, "key-1"));
            for (String path : List.of("/book/x", "/look/x", "/look/y", "/write/x", "/once/x")) {
                assertThat(path, status(path, "key-1"), equalTo(OK));
            }
            checkNames(servers, name);
        }

        @Test
        void areTheNewOnesAfterAVersionOfTheConfiguration() {
            RawServer server = start("a", FOUND, Optional.empty());
            harness.configureAccounts(accountArray("\u0412\u0430\u0440\u043d\u0430", "key-1"));
            status("/book/x", "key-1");
            harness.configureAccounts(accountArray("\u0421\u043e\u0444\u0438\u044f", "key-1"));
            status("/book/x", "key-1");
            List<String> names = namesAt(List.of(server));
            assertThat(names, hasSize(2));
            assertThat(names.get(0), not(equalTo(names.get(1))));
        }

        /** Guards against keys that are refused since they are not ASCII. */
        @ParameterizedTest
        @ValueSource(strings = {"\u043a\u043b\u044e\u0447", "cl\u00e9", "\ud83e\udd8b"})
        void areFoundByKeysOfAnyCharacters(String key) throws IOException {
            start("a", FOUND, Optional.empty());
            harness.configureAccounts(accountArray("ann", key));
            byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
            try (KeptConnection caller = new KeptConnection(harness.front())) {
                caller.sendRaw(
                        caller.request("POST", "/look/x", "", "x")
                                .replace(
                                        Configs.KEY,
                                        new String(bytes, StandardCharsets.ISO_8859_1)));
                assertThat(caller.read().status(), equalTo(OK));
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "a\r\nX-Odd: b",
                    "a\nb",
                    "a\u0000b",
                    " a",
                    "a ",
                    "a\t",
                    "\u0001",
                    "\u007f",
                    "\ud83e",
                    "a\udd8bb"
                })
        void thatNoHeaderCarriesAreRefusedAndHarmNoOther(String name) {
            RawServer server = start("a", FOUND, Optional.empty());
            String both = accountArray(name, "key-1").replace("]}]", "]},");
            harness.configureAccounts(both + accountArray("bob", "key-2").substring(1));
            assertThat(status("/look/x", "key-1"), equalTo(UNAVAILABLE));
            assertThat(status("/look/x", "key-3"), equalTo(UNAUTHORIZED));
            assertThat(server.requestCount(), is(0));
            assertThat(status("/look/x", "key-2"), equalTo(OK));
            assertThat(harness.statesOf("a"), hasSize(0));
        }
    }

    /** Guards against names of any characters that endpoints cannot tell apart. */
    static class Drawn {
        private static final int NAMES = 8;

        @Provide
        Arbitrary<Set<String>> accounts() {
            return names().filter(n -> HeaderText.encode(n).isPresent()).set().ofSize(NAMES);
        }

        @Property(tries = 15)
        void differOnTheWireIfTheyDiffer(@ForAll("accounts") Set<String> names) {
            Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
            try (RelayHarness harness = new RelayHarness()) {
                List<RawServer> servers =
                        List.of(
                                endpoint(harness, vertx, "a", REFUSED, Optional.empty()),
                                endpoint(harness, vertx, "b", FOUND, Optional.empty()),
                                endpoint(harness, vertx, "c", EVENTS, ALL));
                for (String name : names) {
                    harness.configureAccounts(accountArray(name, "key-1"));
                    assertThat(harness.call("/look/x", Map.of()).status(), equalTo(OK));
                    assertThat(harness.call("/write/x", Map.of()).status(), equalTo(OK));
                }
                assertThat(new HashSet<>(namesAt(servers)), hasSize(names.size()));
            } finally {
                vertx.close().await();
            }
        }
    }

    /** Guards against an encoding in which two names are the same header value. */
    static class AsValues {
        @Provide
        Arbitrary<String> name() {
            return names();
        }

        @Property(tries = 20_000)
        void differIfTheNamesDo(@ForAll("name") String one, @ForAll("name") String other) {
            Assume.that(!one.equals(other));
            Optional<String> value = HeaderText.encode(one);
            Assume.that(value.isPresent());
            assertThat(HeaderText.encode(other), not(equalTo(value)));
        }

        @Property(tries = 20_000)
        void areOneByteForEachCharacter(@ForAll("name") String name) {
            HeaderText.encode(name)
                    .ifPresent(
                            value -> {
                                byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
                                String read = new String(bytes, StandardCharsets.UTF_8);
                                assertThat(read, equalTo(name));
                            });
        }

        @Property
        void areTheNamesIfThoseAreVisibleAscii(@ForAll("ascii") String name) {
            assertThat(HeaderText.encode(name), equalTo(Optional.of(name)));
        }

        @Provide
        Arbitrary<String> ascii() {
            return Arbitraries.strings().withCharRange('!', '~').ofMinLength(1);
        }
    }

    private static Arbitrary<String> names() {
        Arbitrary<String> any = Arbitraries.strings().all().ofMaxLength(4);
        Arbitrary<String> near =
                Arbitraries.strings()
                        .withChars("a?% \t\u00c3\u00a9\u00e9\u0424\u0421\ud83e\udd8b\udd8c")
                        .ofMaxLength(4);
        return Arbitraries.oneOf(any, near);
    }

    private static RawServer endpoint(
            RelayHarness harness,
            Vertx vertx,
            String id,
            String answer,
            Optional<LayerRange> layers) {
        RawServer server = new RawServer(vertx, answer, RawServer.End.CLOSED);
        harness.announce(id, server.address(), layers);
        return server;
    }

    private static List<String> namesAt(List<RawServer> servers) {
        return servers.stream()
                .flatMap(server -> server.requests().stream())
                .map(AccountNamesTest::nameIn)
                .toList();
    }

    private static String accountArray(String name, String key) {
        try {
            String text = JSON.writeValueAsString(name);
            return "[{\"Name\":" + text + ",\"ApiKeys\":[\"" + key + "\"]}]";
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static String nameIn(String request) {
        return request.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(NAME_HEADER))
                .map(line -> line.substring(NAME_HEADER.length()))
                .findFirst()
                .orElse("none");
    }
}
