package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.LayerRange;
import hyssopturn.port.InDoubtException;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Guards against answers that never end: a worker that keeps sending bytes would otherwise hold a
 * call, its connection and memory forever.
 */
class EndlessAnswersTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: r1\r\nHyssopturn-Server-Seal: s\r\n";
    private static final int BAD_GATEWAY = 502;
    private static final int OK = 200;
    private static final long CLOSE_SECONDS = 5;

    private final RelayHarness harness = new RelayHarness();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    @AfterEach
    void close() {
        harness.close();
        vertx.close().await();
    }

    private EndlessServer worker(String first, String repeated, Optional<LayerRange> layers) {
        EndlessServer worker = new EndlessServer(vertx, unescaped(first), unescaped(repeated));
        harness.announce("a-endless", worker.address(), layers);
        return worker;
    }

    private static String unescaped(String text) {
        return text.replace("HEAD", HEAD).replace("\\r", "\r").replace("\\n", "\n");
    }

    private static void assertClosed(EndlessServer worker) {
        worker.closed().orTimeout(CLOSE_SECONDS, TimeUnit.SECONDS).join();
    }

    /**
     * Guards against endless answers that together exceed the memory of the process, which would
     * end every other request with it.
     */
    @Nested
    class ManyAtOnce {
        private static final int CALLS = 40;

        @ParameterizedTest
        @CsvSource({"/book/a, more, false", "/once/a, data: more, true"})
        void holdNoMoreThanTheMemoryForAnswers(String path, String repeated, boolean engine) {
            worker("HEAD\\r\\n", repeated, engine ? OfAnEngine.ALL : Optional.empty());
            CompletableFuture<List<RelayHarness.Answer>> answers =
                    CompletableFuture.supplyAsync(() -> harness.callTogether(path, CALLS));
            while (!answers.isDone()) {
                assertThat(
                        harness.heldAnswerBytes(),
                        lessThanOrEqualTo(RelayHarness.ANSWER_MEMORY_BYTES));
            }
            answers.join().forEach(answer -> assertThat(answer.status(), equalTo(BAD_GATEWAY)));
            assertThat(harness.heldAnswerBytes(), equalTo(0L));
        }
    }

    /** Guards against bytes that stay counted after the caller has left. */
    @Nested
    class OfACallerThatLeaves {
        @ParameterizedTest
        @CsvSource({"/book/a, false", "/once/a, true"})
        @Timeout(value = CLOSE_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        void holdNoMemory(String path, boolean engine) throws InterruptedException {
            CompletableFuture<Void> arrived = new CompletableFuture<>();
            Handler<HttpServerRequest> partial =
                    r -> {
                        RelayHarness.signed(r).setChunked(true).write("data: part of an answer");
                        harness.runLater(() -> arrived.complete(null));
                    };
            if (engine) {
                harness.engine("a", partial);
            } else {
                harness.service("a", partial);
            }
            harness.callAndDisconnect(path, arrived);
            while (harness.heldAnswerBytes() == 0) {
                Thread.sleep(1);
            }
            arrived.join();
            while (harness.heldAnswerBytes() > 0) {
                Thread.sleep(1);
            }
        }
    }

    @Nested
    class OfAPlainWorker {
        @ParameterizedTest
        @CsvSource({
            "HTTP/1.1 200 OK\\r\\n, X-More: more\\r\\n",
            "HEADTransfer-Encoding: chunked\\r\\n\\r\\n, 0",
            "HEADTransfer-Encoding: chunked\\r\\n\\r\\n7fffffff\\r\\n, more",
            "HEAD\\r\\n, more",
            "HTTP/1.1 200, more"
        })
        void returnBadGatewayAndAreCutOff(String first, String repeated) {
            EndlessServer worker = worker(first, repeated, Optional.empty());
            assertThat(harness.call("/book/a", Map.of()).status(), equalTo(BAD_GATEWAY));
            assertClosed(worker);
        }

        @Test
        void doNotPreventTheFailoverOfARepeatableCall() {
            EndlessServer worker = worker("HEAD\\r\\n", "more", Optional.empty());
            harness.service("b", r -> RelayHarness.signed(r).end("found"));
            RelayHarness.Answer answer = harness.call("/look/a", Map.of());
            assertThat(answer.status(), equalTo(OK));
            assertThat(answer.body(), equalTo("found"));
            assertClosed(worker);
        }
    }

    @Nested
    class OfAnEngine {
        private static final Optional<LayerRange> ALL = Optional.of(new LayerRange(0, 80));

        @ParameterizedTest
        @CsvSource({
            "HTTP/1.1 200 OK\\r\\n, X-More: more\\r\\n",
            "HEADTransfer-Encoding: chunked\\r\\n\\r\\n, 0",
            "HEADTransfer-Encoding: chunked\\r\\n\\r\\n7fffffff\\r\\n, data: more\\n",
            "HEAD\\r\\n, more",
            "HEAD\\r\\n, : comment\\n"
        })
        void returnBadGatewayAndAreCutOff(String first, String repeated) {
            EndlessServer worker = worker(first, repeated, ALL);
            assertThat(harness.call("/write/a", Map.of()).status(), equalTo(BAD_GATEWAY));
            assertClosed(worker);
        }

        @Test
        void doNotPreventTheFailoverOfAStream() {
            EndlessServer worker = worker("HEAD\\r\\n", "more", ALL);
            harness.engine(
                    "b", r -> RelayHarness.signed(r).setChunked(true).end("id: 0\ndata: t\n\n"));
            RelayHarness.Answer answer = harness.call("/write/a", Map.of());
            while (!worker.closed().isDone()) {
                answer = harness.call("/write/a", Map.of());
            }
            assertThat(answer.status(), equalTo(OK));
            assertThat(answer.complete(), equalTo(true));
        }

        @Test
        void toAReportRequestFailItAndAreCutOff() {
            EndlessServer worker = worker("HTTP/1.1 200 OK\\r\\n\\r\\n", "more", ALL);
            HttpCalls calls =
                    new HttpCalls(
                            vertx.createHttpClient()::request,
                            new VirtualClock(0),
                            new AnswerMemory(Long.MAX_VALUE),
                            new SimpleMeterRegistry(),
                            "engine");
            CompletionException failure =
                    assertThrows(
                            CompletionException.class,
                            () -> EngineControls.of(calls).stalled(worker.address()).join());
            assertThat(failure.getCause(), instanceOf(InDoubtException.class));
            assertClosed(worker);
        }
    }
}
