package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Long bodies that an endpoint reads after its answer do not use up the memory of a router. */
@Timeout(180)
class LateReadBodiesTest {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int REQUESTS = 12;

    /** Size of a body, more than the kernel takes. */
    private static final int BODY_BYTES = 6_000_000;

    private static final int HEAP_MB = 160;
    private static final int DIRECT_MB = 24;

    /** Memory of the JVM besides heap and direct memory: code, classes, stacks, collector. */
    private static final int JVM_MB = 96;

    private static final long MEGABYTE = 1L << 20;
    private static final String LIMITS =
            "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":16777216,"
                    + "\"HeaderTimeoutMs\":10000,\"IdleTimeoutMs\":15000";

    @TempDir private Path directory;
    private LateReader endpoint;
    private RouterBed bed;

    @BeforeEach
    void startRouter() throws IOException {
        endpoint = new LateReader();
        bed = new RouterBed(directory, machine(), LIMITS, endpoint.address());
    }

    private static RouterMachine machine() {
        List<String> options = new ArrayList<>(RouterProcess.SMALL_MACHINE.options());
        options.add("-Xmx" + HEAP_MB + "m");
        options.add("-XX:MaxDirectMemorySize=" + DIRECT_MB + "m");
        return RouterProcess.SMALL_MACHINE.withOptions(options);
    }

    @AfterEach
    void close() throws IOException {
        bed.close();
        endpoint.close();
    }

    @Test
    void areSentWholeOrRefusedAsNotRun() throws Exception {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            statuses.add(longRequest());
            bed.observe();
        }
        bed.awaitOrdinaryAnswer();
        int answered = Collections.frequency(statuses, OK);
        assertThat(statuses, hasItem(OK));
        assertThat(statuses, everyItem(anyOf(is(OK), is(UNAVAILABLE))));
        assertThat("whole bodies", endpoint.readOn(), equalTo(answered));
        bed.awaitOrdinaryAnswer();
        bed.checkAlive();
        assertThat(
                "memory",
                bed.mostBytes(),
                lessThanOrEqualTo((HEAP_MB + DIRECT_MB + JVM_MB) * MEGABYTE));
    }

    private int longRequest() {
        try (KeptConnection caller = new KeptConnection(bed.front())) {
            caller.sendRaw(caller.request("POST", "/book/x", "", "x".repeat(BODY_BYTES)));
            return caller.read().status();
        } catch (IOException e) {
            return 0;
        }
    }
}
