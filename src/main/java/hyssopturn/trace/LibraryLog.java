package hyssopturn.trace;

import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Writes messages of libraries and of Flogger as events, so that a process has one log. */
public final class LibraryLog extends Handler {
    private static final SimpleFormatter TEXT = new SimpleFormatter();

    private final TraceLog trace;

    private LibraryLog(TraceLog trace) {
        this.trace = trace;
    }

    /**
     * Replaces all other log handlers of the process.
     *
     * @param trace structured log
     */
    public static void install(TraceLog trace) {
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.addHandler(new LibraryLog(trace));
    }

    @Override
    public void publish(LogRecord message) {
        if (message.getLevel().intValue() < Level.WARNING.intValue()) {
            return;
        }
        String error = message.getThrown() == null ? "" : message.getThrown().toString();
        trace.record(
                new TraceEvent.LibraryMessage(
                        message.getLevel().getName(),
                        String.valueOf(message.getLoggerName()),
                        TEXT.formatMessage(message),
                        error));
    }

    @Override
    public void flush() {
        // the structured log flushes itself
    }

    @Override
    public void close() {
        // the structured log is closed by its owner
    }
}
