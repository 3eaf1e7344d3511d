package org.dragonflygw.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Holds the requests that arrive while a process that has just started still reads the configuration and the list of
 * endpoints. That takes a fraction of a second; a refused caller would come back later than that and may have only one
 * retry. A request is held briefly, and only during the first moments of the process, so that nothing waits for a store
 * that cannot be reached. Not thread-safe.
 */
public final class StartupHold {
    /** Time after the start in which requests are held, in nanoseconds. */
    private static final long STARTUP_NANOS = 1_500_000_000L;

    /** Longest time for which one request is held, in nanoseconds. */
    private static final long MAX_HOLD_NANOS = 300_000_000L;

    /** Largest number of held requests; their bodies take memory. */
    private static final int MAX_HELD = 256;

    private final BooleanSupplier prepared;
    private final MonotonicClock clock;
    private final long startedNanos;
    private final Deque<HeldRequest> held = new ArrayDeque<>();
    private boolean over;

    /**
     * Creates a hold for a process that starts now.
     *
     * @param prepared tells whether the configuration and the list of endpoints were read
     */
    public StartupHold(BooleanSupplier prepared, MonotonicClock clock) {
        this.prepared = prepared;
        this.clock = clock;
        this.startedNanos = clock.nanos();
    }

    /** Starts a request now, or holds it; returns whether the request was started. */
    public boolean submit(Runnable request) {
        release();
        if (over || held.size() >= MAX_HELD) {
            request.run();
            return true;
        }
        held.add(new HeldRequest(request, clock.nanos()));
        return false;
    }

    /**
     * Starts the held requests in the order of their arrival: all of them once this host is prepared, otherwise those
     * that were held for the longest allowed time, which are then refused. Must be called regularly until the hold is
     * over.
     */
    public void release() {
        long now = clock.nanos();
        over |= prepared.getAsBoolean() || now - startedNanos >= STARTUP_NANOS;
        while (!held.isEmpty() && (over || now - held.peekFirst().sinceNanos >= MAX_HOLD_NANOS)) {
            held.removeFirst().start.run();
        }
    }

    /** Returns whether requests are no longer held. */
    public boolean isOver() {
        return over;
    }

    private record HeldRequest(Runnable start, long sinceNanos) {}
}
