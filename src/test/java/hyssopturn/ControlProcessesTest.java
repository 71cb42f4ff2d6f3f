package hyssopturn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import hyssopturn.Processes.Running;
import hyssopturn.model.Address;

import io.vertx.core.json.JsonObject;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

/** Configuration and lease, every part a process of its own. */
class ControlProcessesTest {
    private static final int NODES = 3;
    private static final int TRIES = 400;
    private static final int PAUSE_MILLIS = 100;
    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static final Processes processes = new Processes();
    private static final List<Running> nodes = new ArrayList<>();
    private static String platform;

    @BeforeAll
    static void startNodes() throws Exception {
        platform = "--platform=" + processes.start("standin", "platform").address();
        for (int i = 1; i <= NODES; i++) {
            nodes.add(processes.start("node", platform, "--id=node-" + i));
        }
    }

    @AfterAll
    static void stopNodes() {
        processes.close();
    }

    private static Process publish(String base, String file) throws Exception {
        return processes.command(
                "config", "publish", platform, "--base=" + base, "--wait", "examples/" + file);
    }

    private static String output(Process process) throws Exception {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static String get(Address at, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + at + path)).build();
        return HTTP.send(request, BodyHandlers.ofString()).body();
    }

    private static long version(Running node) throws Exception {
        return new JsonObject(get(node.address(), "/v1/status")).getLong("config");
    }

    private static boolean holds(Running node) throws Exception {
        return get(node.address(), "/metrics")
                .lines()
                .anyMatch("hyssopturn_lease_held 1.0"::equals);
    }

    private static Optional<Running> holder(List<Running> among) throws Exception {
        for (Running node : among) {
            if (holds(node)) {
                return Optional.of(node);
            }
        }
        return Optional.empty();
    }

    private static <T> T await(Callable<Optional<T>> condition) throws Exception {
        for (int i = 0; i < TRIES; i++) {
            Optional<T> value = condition.call();
            if (value.isPresent()) {
                return value.get();
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        throw new AssertionError("not reached");
    }

    @Test
    void ofTwoPublishersAtTheSameMomentOneWinsEverywhereAndTheOtherIsTold() throws Exception {
        String base = Long.toString(version(nodes.getFirst()));
        Process first = publish(base, "workshop.yaml");
        Process second = publish(base, "haven.yaml");
        String said = output(first) + output(second);
        assertThat(List.of(first.waitFor(), second.waitFor()), containsInAnyOrder(0, 1));
        assertThat(said, containsString("in force at all 3 nodes after "));
        assertThat(said, containsString("rejected: superseded winner="));
        long version = version(nodes.getFirst());
        for (Running node : nodes) {
            assertThat(version(node), is(version));
        }
    }

    @Test
    void aHolderThatIsStoppedLosesTheLeaseAndNoticesWhenItGoesOn() throws Exception {
        Running stopped = await(() -> holder(nodes));
        List<Running> others = new ArrayList<>(nodes);
        others.remove(stopped);
        Processes.signal(stopped.process(), "STOP");
        try {
            Running next = await(() -> holder(others));
            assertThat(next, is(not(stopped)));
        } finally {
            Processes.signal(stopped.process(), "CONT");
        }
        assertThat("holds after going on", holds(stopped), is(false));
        assertThat(await(() -> holder(nodes)), is(not(stopped)));
    }
}
