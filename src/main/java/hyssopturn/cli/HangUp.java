package hyssopturn.cli;

import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Handles SIGHUP, which would end the process otherwise.
 *
 * <p>Signal handlers belong to the whole process, so the state is static. The JDK's signal classes
 * are looked up by name, because the compiler warns of them and here a warning is an error.
 */
public final class HangUp {
    private static Optional<Runnable> action = Optional.empty();
    private static boolean pending;

    private HangUp() {}

    /**
     * Installs the handler. A signal that arrives before {@link #handle} is remembered until then.
     */
    public static void install() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            Object receiver =
                    Proxy.newProxyInstance(
                            HangUp.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                received();
                                return null;
                            });
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, receiver);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JDK has no signal handlers", e);
        }
    }

    /** Runs an action for each signal from now on, and once if a signal has arrived before. */
    static void handle(Runnable newAction) {
        if (setAction(newAction)) {
            newAction.run();
        }
    }

    private static synchronized boolean setAction(Runnable newAction) {
        action = Optional.of(newAction);
        boolean wasPending = pending;
        pending = false;
        return wasPending;
    }

    private static void received() {
        actionOrRemember().ifPresent(Runnable::run);
    }

    private static synchronized Optional<Runnable> actionOrRemember() {
        pending = action.isEmpty();
        return action;
    }
}
