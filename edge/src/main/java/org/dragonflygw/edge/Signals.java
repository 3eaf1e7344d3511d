package org.dragonflygw.edge;

import java.lang.reflect.Proxy;

/**
 * Installs handlers for the signals TERM, with which the platform stops a process, and HUP, with which it announces
 * changed settings. The JDK has only the unsupported class {@code sun.misc.Signal} for this, which is therefore used by
 * reflection. Each signal runs its action on a new thread.
 */
final class Signals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private Signals() {}

    static void onTerminate(Runnable action) {
        handle("TERM", action);
    }

    static void onHangUp(Runnable action) {
        handle("HUP", action);
    }

    private static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handlerType = Class.forName(HANDLER_CLASS);
            Object handler = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, args) -> {
                        new Thread(action, "signal-" + name).start();
                        return null;
                    });
            signal.getMethod("handle", signal, handlerType)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("signal " + name + " cannot be handled: no handler could be installed", e);
        }
    }
}
