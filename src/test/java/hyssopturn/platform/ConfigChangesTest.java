package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import java.io.IOException;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Callers on kept connections while configurations change in series, and then a drain. {@code
 * -Dhyssopturn.soak.seeds} and {@code -Dhyssopturn.soak.seconds} make it longer.
 */
class ConfigChangesTest {
    private static final int CALLERS = 12;
    private static final int CHANGES_PER_SECOND = 20;
    private static final int MAX_WORK_MILLIS = 40;
    private static final int MORE_ROUTES = 600;
    private static final int SECONDS = Integer.getInteger("hyssopturn.soak.seconds", 2);
    private static final int OK = 200;
    private static final Set<Integer> STATUSES = Set.of(OK, 404, 503, 504);
    private static final List<String> PATHS = List.of("/look/x", "/book/x", "/m7/x", "/none/x");

    private final Set<String> received = ConcurrentHashMap.newKeySet();
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();
    private final Set<Integer> statuses = Collections.synchronizedSet(new HashSet<>());
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean drained;
    private final ScriptedPlatform platform = new ScriptedPlatform(Configs.version(1), this::serve);

    @AfterEach
    void close() {
        platform.close();
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("hyssopturn.soak.seeds", 1));
    }

    /** Answers after a delay that depends on the request's id. */
    private void serve(HttpServerRequest request) {
        String id = request.getHeader("Hyssopturn-Attempt-Id");
        received.add(id);
        long delay = 1L + Math.floorMod(id.hashCode(), MAX_WORK_MILLIS);
        platform.later(delay, () -> RelayHarness.signed(request).end("found " + id));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestIsAnsweredWhole(int seed) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            for (int i = 0; i < CALLERS; i++) {
                SplittableRandom own = random.split();
                callers.execute(() -> call(own));
            }
            changeConfigs(random);
            draining = true;
            platform.drain();
            drained = true;
            callers.shutdown();
            assertThat(callers.awaitTermination(20, TimeUnit.SECONDS), is(true));
        }
        assertThat(unanswered, is(empty()));
        assertThat(statuses, hasItem(OK));
        assertThat(statuses, everyItem(is(in(STATUSES))));
        assertThat(answered.get(), greaterThan(CALLERS));
    }

    private void changeConfigs(SplittableRandom random) throws InterruptedException {
        int version = 1;
        for (int change = 0; change < SECONDS * CHANGES_PER_SECOND; change++) {
            Thread.sleep(1_000 / CHANGES_PER_SECOND);
            version += 1 + random.nextInt(3);
            platform.publish(
                    Configs.version(
                            version,
                            random.nextBoolean() ? "records" : "archive",
                            1_000 + random.nextInt(20_000),
                            random.nextBoolean() ? MORE_ROUTES : 0,
                            random.nextInt(MORE_ROUTES)));
        }
    }

    /** Sends requests, one after the other, on connections that it keeps as long as it may. */
    private void call(SplittableRandom random) {
        while (!drained) {
            try (KeptConnection connection = new KeptConnection(platform.front())) {
                boolean kept = true;
                while (kept && !drained) {
                    kept = callOnce(connection, PATHS.get(random.nextInt(PATHS.size())));
                    connection.pause(random.nextInt(MAX_WORK_MILLIS));
                }
            } catch (IOException e) {
                if (!draining) {
                    unanswered.add("connection: " + e);
                }
            }
        }
    }

    private boolean callOnce(KeptConnection connection, String path) throws IOException {
        connection.send(path);
        try {
            KeptConnection.Answer answer = connection.read();
            answered.incrementAndGet();
            statuses.add(answer.status());
            return !answer.closes();
        } catch (IOException e) {
            // a request that crosses the close of a drained connection was not read
            if (!draining || received.contains(connection.lastId())) {
                unanswered.add(connection.lastId() + " " + path + ": " + e);
            }
            throw e;
        }
    }
}
