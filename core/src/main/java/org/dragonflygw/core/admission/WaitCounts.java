package org.dragonflygw.core.admission;

/** Numbers of waits since the start of the process. Not thread-safe; other threads may read slightly old numbers. */
public final class WaitCounts {
    private long started;
    private long served;
    private long refused;
    private long left;

    void onStarted() {
        started++;
    }

    void onServed() {
        served++;
    }

    void onRefused() {
        refused++;
    }

    void onLeft() {
        left++;
    }

    /** Returns the number of requests that began to wait. */
    public long started() {
        return started;
    }

    /** Returns the number of requests that got room, at once or after a wait, while their service was short of it. */
    public long served() {
        return served;
    }

    /** Returns the number of requests that were refused, at once or after a wait. */
    public long refused() {
        return refused;
    }

    /** Returns the number of requests whose caller left during the wait. */
    public long left() {
        return left;
    }
}
