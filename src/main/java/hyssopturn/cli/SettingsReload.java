package hyssopturn.cli;

import com.google.common.flogger.FluentLogger;

import hyssopturn.platform.PlatformSettings;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Compares the settings file with the settings in force when the platform signals a change. */
final class SettingsReload implements Runnable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final PlatformSettings inForce;
    private final Supplier<PlatformSettings> file;
    private final Consumer<Boolean> reloaded;

    /**
     * Creates the comparison.
     *
     * @param inForce settings that this process was started with
     * @param file reads the settings file
     * @param reloaded receives true if the file differs from the settings in force
     */
    SettingsReload(
            PlatformSettings inForce, Supplier<PlatformSettings> file, Consumer<Boolean> reloaded) {
        this.inForce = inForce;
        this.file = file;
        this.reloaded = reloaded;
    }

    /** Reads the file; one that is unreadable, such as a half-written one, changes nothing. */
    @Override
    public void run() {
        PlatformSettings read;
        try {
            read = file.get();
        } catch (RuntimeException | StackOverflowError e) {
            logger.atWarning().log(
                    "settings file is unreadable, the settings in force stay: %.500s", e);
            return;
        }
        reloaded.accept(!read.equals(inForce));
    }
}
