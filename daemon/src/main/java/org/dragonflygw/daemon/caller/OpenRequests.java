package org.dragonflygw.daemon.caller;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Counts the open requests of callers, limits their number, and lets a planned stop wait until all have ended.
 * Thread-safe.
 */
@Singleton
public final class OpenRequests {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final int maxOpen;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition noneOpen = lock.newCondition();
    private int open;

    @Inject
    public OpenRequests(RouterSettings settings, MetricRegistry registry) {
        this.maxOpen = settings.getMaxOpenRequests();
        registry.register("dragonflygw.caller.open.requests", (Gauge<Integer>) this::count);
    }

    /**
     * Counts a request as open.
     *
     * @throws CallerException when the maximum number of requests is open
     */
    public void enter() {
        lock.lock();
        try {
            if (open >= maxOpen) {
                throw CallerException.notRun(
                        CallerCode.ROUTER_FULL, maxOpen + " requests are open on this router", RETRY_AFTER_MILLIS);
            }
            open++;
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request as ended. Call once for each successful {@link #enter}. */
    public void exit() {
        lock.lock();
        try {
            open--;
            if (open == 0) {
                noneOpen.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Number of open requests. */
    public int count() {
        lock.lock();
        try {
            return open;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until no request is open; returns false when the time limit passes first. */
    public boolean awaitNone(Duration limit) throws InterruptedException {
        lock.lock();
        try {
            long nanos = limit.toNanos();
            while (open > 0) {
                if (nanos <= 0) {
                    return false;
                }
                nanos = noneOpen.awaitNanos(nanos);
            }
            return true;
        } finally {
            lock.unlock();
        }
    }
}
