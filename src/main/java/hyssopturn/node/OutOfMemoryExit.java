package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;

import java.io.PrintStream;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

/**
 * Ends the process when memory is used up that the JVM does not watch itself, such as Netty's
 * direct buffers; it would go on with lost callbacks otherwise. The heap is watched by the option
 * {@code -XX:+ExitOnOutOfMemoryError}, which ends the process with the same code.
 */
final class OutOfMemoryExit implements Handler<Throwable> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Exit code of a process that ran out of memory, which is also that of the JVM. */
    static final int EXIT_CODE = 3;

    /** Maximum number of causes that are looked at. */
    private static final int MAX_CAUSES = 10;

    private final PrintStream log;
    private final IntConsumer halt;

    /**
     * Creates a handler that is not installed.
     *
     * @param log destination of the last line
     * @param halt ends the process at once with an exit code
     */
    OutOfMemoryExit(PrintStream log, IntConsumer halt) {
        this.log = log;
        this.halt = halt;
    }

    /**
     * Handles the errors that no one else handles, on the event loop and on other threads.
     *
     * @param vertx the only event loop of the process
     */
    void install(Vertx vertx) {
        vertx.exceptionHandler(this);
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> handle(error));
    }

    @Override
    public void handle(Throwable error) {
        if (!outOfMemory(error)) {
            logger.atSevere().withCause(error).log("unhandled error");
            return;
        }
        // the structured log needs memory and a thread of its own
        log.println("{\"event\":\"OutOfMemory\",\"error\":\"" + error.getClass().getName() + "\"}");
        log.flush();
        halt.accept(EXIT_CODE);
    }

    private static boolean outOfMemory(Throwable error) {
        return Stream.iterate(error, e -> e != null, Throwable::getCause)
                .limit(MAX_CAUSES)
                .anyMatch(OutOfMemoryError.class::isInstance);
    }
}
