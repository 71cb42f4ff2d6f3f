package hyssopturn.config;

import com.google.common.flogger.FluentLogger;

import hyssopturn.log.LogFollower;
import hyssopturn.model.Config;
import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Keeps the configuration in force by following the log. */
public final class ConfigController {
    /** Stream of the log that holds publications. */
    public static final String STREAM = "config";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final LogFollower follower;
    private final List<Consumer<Config>> listeners = new CopyOnWriteArrayList<>();
    private volatile Config current = Config.EMPTY;

    /**
     * Creates a controller that has not started.
     *
     * @param log the log
     * @param clock time
     */
    public ConfigController(LogService log, Clock clock) {
        follower = new LogFollower(log, STREAM, clock, this::fold);
    }

    /** Starts following. */
    public void start() {
        follower.start();
    }

    /** Stops following. */
    public void stop() {
        follower.stop();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Config#EMPTY} before the first
     */
    public Config current() {
        return current;
    }

    /**
     * Adds a listener.
     *
     * @param listener gets each configuration that comes into force
     */
    public void listen(Consumer<Config> listener) {
        listeners.add(listener);
    }

    private void fold(LogPage page) {
        Config before = current;
        Config after = before;
        for (LogPage.Entry entry : page.records()) {
            after = ConfigFold.apply(after, entry);
        }
        if (after.version() != before.version()) {
            current = after;
            logger.atInfo().log("config=in-force version=%d", after.version());
            for (Consumer<Config> listener : listeners) {
                listener.accept(after);
            }
        }
    }
}
