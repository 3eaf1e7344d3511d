package org.dragonflygw.edge.stop;

/** Ends a process that stops, at the latest shortly before it would be killed, even if it hangs. */
public final class StopLimit {
    /** Time in milliseconds before the kill; a host with a quarter of a core may need a part of it to run a thread. */
    private static final long MARGIN_MS = 400;

    private StopLimit() {}

    /**
     * Starts to wait on a thread of its own.
     *
     * @param graceMs time between the signal to stop and the kill, in milliseconds
     * @param end ends the process
     */
    public static void start(long graceMs, Runnable end) {
        Thread thread = new Thread(
                () -> {
                    try {
                        Thread.sleep(Math.max(0, graceMs - MARGIN_MS));
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    end.run();
                },
                "stop-limit");
        thread.setDaemon(true);
        thread.start();
    }
}
