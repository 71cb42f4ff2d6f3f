package hyssopturn.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import hyssopturn.standin.VirtualClock;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

class LibraryLogTest {
    private final Logger root = LogManager.getLogManager().getLogger("");
    private final Logger library = Logger.getLogger("some.library");
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private Handler[] before;

    @BeforeEach
    void keepHandlers() {
        before = root.getHandlers();
    }

    @AfterEach
    void restoreHandlers() {
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        for (Handler handler : before) {
            root.addHandler(handler);
        }
    }

    @Test
    void libraryMessagesAreLoggedFromWarningsUpwards() {
        try (TraceLog trace = new TraceLog("n1", new VirtualClock(1_000), out, 10)) {
            LibraryLog.install(trace);
            library.info("all is well");
            library.log(Level.WARNING, "lost {0}", "a packet");
            library.log(Level.SEVERE, "failed", new IllegalStateException("why"));
        }
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines, hasSize(2));
        assertThat(lines.get(0), containsString("lost a packet"));
        assertThat(lines.get(1), containsString("IllegalStateException: why"));
        assertThat(root.getHandlers().length, equalTo(1));
    }
}
