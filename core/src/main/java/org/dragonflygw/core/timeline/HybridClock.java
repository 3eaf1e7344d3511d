package org.dragonflygw.core.timeline;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hybrid logical clock (Kulkarni et al., 2014): readings grow strictly, stay close to physical time, and order causes
 * before effects when each message carries the sender's reading. Lock-free and safe from every thread.
 */
public final class HybridClock {
    /** Readings of other daemons further ahead than this are ignored, so that one wrong clock cannot spread. */
    public static final long MAX_SKEW_MILLIS = 60_000;

    private static final int LOGICAL_BITS = 16;
    private static final long LOGICAL_MASK = (1L << LOGICAL_BITS) - 1;

    private final InstantSource physical;
    private final AtomicLong last = new AtomicLong();

    public HybridClock(InstantSource physical) {
        this.physical = physical;
    }

    /** A reading greater than all earlier ones. */
    public HybridTimestamp now() {
        return unpack(advance(0));
    }

    /** Takes in a reading from a message; later readings are greater than it. */
    public HybridTimestamp observe(HybridTimestamp remote) {
        boolean plausible = remote.physicalMillis() <= physical.millis() + MAX_SKEW_MILLIS;
        return unpack(advance(plausible ? pack(remote) : 0));
    }

    /** A reading as one number that sorts in the same order: milliseconds shifted left by 16, plus the counter. */
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
        long wall = physical.millis() << LOGICAL_BITS;
        while (true) {
            long previous = last.get();
            long next = Math.max(wall, Math.max(previous, remote) + 1);
            if (last.compareAndSet(previous, next)) {
                return next;
            }
        }
    }
}
