package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.Address;
import hyssopturn.port.FailedException;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

class HttpEngineControlTest {
    private static final String HOST = "127.0.0.1";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    @AfterEach
    void close() {
        vertx.close().await();
    }

    private CompletableFuture<Map<String, Address>> stalled(String report) {
        int port =
                vertx.createHttpServer()
                        .requestHandler(r -> r.response().end(report))
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        HttpCalls calls =
                new HttpCalls(
                        vertx.createHttpClient()::request,
                        new VirtualClock(0),
                        new AnswerMemory(Long.MAX_VALUE),
                        new SimpleMeterRegistry(),
                        "engine");
        return EngineControls.of(calls).stalled(new Address(HOST, port));
    }

    @Nested
    class Reports {
        private static final String SOUND = "{\"Id\":\"%s\",\"Address\":\"10.0.0.%d:80\"}";

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "null",
                    "7",
                    "[]",
                    "{}",
                    "{\"Id\":\"b\"}",
                    "{\"Id\":7,\"Address\":\"10.0.0.9:80\"}",
                    "{\"Id\":\" \",\"Address\":\"10.0.0.9:80\"}",
                    "{\"Address\":\"10.0.0.9:80\"}",
                    "{\"Id\":\"b\",\"Address\":null}",
                    "{\"Id\":\"b\",\"Address\":\"x\"}",
                    "{\"Id\":\"b\",\"Address\":\"10.0.0.9:x\"}",
                    "{\"Id\":\"b\",\"Address\":\"10.0.0.9:65536\"}",
                    "{\"Id\":\"b\",\"Address\":\" :80\"}"
                })
        void oneOddItemIsLeftOutAndTheOthersAreKept(String odd) {
            String a = SOUND.formatted("a", 1);
            String c = SOUND.formatted("c", 3);
            String report = "{\"Stalled\":[%s,%s,%s]}".formatted(a, odd, c);
            Map<String, Address> waitsFor =
                    Map.of("a", new Address("10.0.0.1", 80), "c", new Address("10.0.0.3", 80));
            assertThat(stalled(report).join(), equalTo(waitsFor));
        }

        @Test
        void thatAreNestedDeeplyFail() {
            for (String open : new String[] {"[", "{\"Stalled\":"}) {
                CompletableFuture<?> call = stalled(open.repeat(100_000));
                Throwable error = assertThrows(CompletionException.class, call::join).getCause();
                assertThat(error, instanceOf(FailedException.class));
            }
        }
    }
}
