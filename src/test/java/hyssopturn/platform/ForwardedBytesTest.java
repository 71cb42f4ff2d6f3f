package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Guards against bytes of a caller's request that reach an endpoint as other bytes. */
class ForwardedBytesTest {
    private static final String FOUND =
            "HTTP/1.1 200 OK\r\nHyssopturn-Server-Seal: s\r\nContent-Length: 5\r\n\r\nfound";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;

    /** Every byte above 0x7F, one character each. */
    private static final String HIGH_BYTES =
            IntStream.rangeClosed(0x80, 0xff)
                    .mapToObj(Character::toString)
                    .collect(Collectors.joining());

    private final RelayHarness harness = new RelayHarness();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private RawServer endpoint;
    private KeptConnection caller;

    @BeforeEach
    void connect() throws IOException {
        endpoint = new RawServer(vertx, FOUND, RawServer.End.CLOSED);
        harness.announce("a", endpoint.address(), Optional.empty());
        caller = new KeptConnection(harness.front());
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        harness.close();
        vertx.close().await();
    }

    /** Returns the bytes of the UTF-8 form of a text, one character each. */
    private static String utf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private int send(String target, String headers, String body) throws IOException {
        caller.sendRaw(caller.request("POST", target, headers, body));
        return caller.read().status();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/look/\u00e9",
                "/look/\u0441\u043a\u043b\u0430\u0434?\u0433\u043e\u0434=1",
                "/look/a?q=\u6771\ud83e\udd8b",
                "/look/%D1%81?q=%FF&r=~[]|\"<>\\^`{}",
            })
    void ofTheTargetAreUnchanged(String target) throws IOException {
        assertThat(send(utf8(target), "", "x"), equalTo(OK));
        assertThat(
                endpoint.requests().getFirst(),
                startsWith("POST " + utf8(target) + " HTTP/1.1\r\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"/look/\u00e9", "/look/a?q=\u00ff", "/look/\u00d1", "/look/\u00c0\u0080"})
    void ofATargetThatAreNoTextAreRefused(String target) throws IOException {
        assertThat(send(target, "", "x"), equalTo(BAD_REQUEST));
        assertThat(endpoint.requests(), hasSize(0));
        assertThat(send("/look/x", "", "x"), equalTo(OK));
    }

    @Test
    void ofAPathAreComparedWithThePrefixesOfTheConfiguration() throws IOException {
        harness.configure(
                RelayHarnessConfig.withPrefix("/look/", "/\u0441\u043a\u043b\u0430\u0434/"));
        assertThat(send(utf8("/\u0441\u043a\u043b\u0430\u0434/x"), "", "x"), equalTo(OK));
        assertThat(send("/look/x", "", "x"), equalTo(NOT_FOUND));
    }

    @Test
    void ofHeadersAndBodiesAreUnchanged() throws IOException {
        String headers =
                "X-High: a%sb\r\nHyssopturn-Model: m%s\r\nHyssopturn-Prompt-Prefix: %s:5\r\n"
                        .formatted(HIGH_BYTES, HIGH_BYTES, HIGH_BYTES);
        assertThat(send("/look/x", headers, HIGH_BYTES), equalTo(OK));
        String request = String.join("", endpoint.requests());
        assertThat(request, containsString("a" + HIGH_BYTES + "b\r\n"));
        assertThat(request, containsString("m" + HIGH_BYTES + "\r\n"));
        assertThat(request, containsString(" " + HIGH_BYTES + ":5\r\n"));
        assertThat(request.split("\r\n\r\n", 2)[1], equalTo(HIGH_BYTES));
    }
}
