package org.dragonflygw.core.timeline;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hybrid logical clock (Kulkarni et al., 2014). Readings increase strictly, stay close to physical time, and order
 * causes before effects across daemons if each message carries the sender's reading. Thread-safe and lock-free.
 */
public final class HybridClock {
    /**
     * Readings of other daemons that are further ahead than this are ignored, so that one wrong clock does not advance
     * all.
     */
    public static final long MAX_SKEW_MILLIS = 60_000;

    private static final int LOGICAL_BITS = 16;
    private static final long LOGICAL_MASK = (1L << LOGICAL_BITS) - 1;

    private final InstantSource physical;
    private final AtomicLong last = new AtomicLong();

    public HybridClock(InstantSource physical) {
        this.physical = physical;
    }

    /** Returns a reading that is greater than all earlier readings of this clock. */
    public HybridTimestamp now() {
        return unpack(advance(0));
    }

    /**
     * Merges a reading received in a message, so that later readings of this clock are greater. A reading more than
     * {@link #MAX_SKEW_MILLIS} ahead of physical time is ignored.
     *
     * @return a new reading of this clock
     */
    public HybridTimestamp observe(HybridTimestamp remote) {
        boolean plausible = remote.physicalMillis() <= physical.millis() + MAX_SKEW_MILLIS;
        return unpack(advance(plausible ? pack(remote) : 0));
    }

    /**
     * Like {@link #now}, as one number that sorts in the same order: milliseconds shifted left by 16, plus the counter.
     */
    long nowPacked() {
        return advance(0);
    }

    static HybridTimestamp unpack(long packed) {
        return new HybridTimestamp(packed >>> LOGICAL_BITS, (int) (packed & LOGICAL_MASK));
    }

    static long pack(HybridTimestamp timestamp) {
        return (timestamp.physicalMillis() << LOGICAL_BITS) + timestamp.logical();
    }

    private long advance(long remote) {
        long physicalNow = physical.millis() << LOGICAL_BITS;
        while (true) {
            long previous = last.get();
            long next = Math.max(physicalNow, Math.max(previous, remote) + 1);
            if (last.compareAndSet(previous, next)) {
                return next;
            }
        }
    }
}
