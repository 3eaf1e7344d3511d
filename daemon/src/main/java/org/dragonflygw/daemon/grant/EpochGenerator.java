package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.core.routing.RoutingHash;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Generates the epochs of stewards. Epochs grow with time, differ between daemons (by the low {@value #DAEMON_BITS} bits)
 * and exceed every epoch that this daemon has seen for the engine. Thread-safe.
 */
@Singleton
public final class EpochGenerator {
    private static final int DAEMON_BITS = 10;

    private final Clock clock;
    private final long daemonBits;
    private final AtomicLong last = new AtomicLong();

    @Inject
    public EpochGenerator(Clock clock, RouterSettings settings) {
        this.clock = clock;
        this.daemonBits = RoutingHash.of(settings.getDaemonId()) & ((1L << DAEMON_BITS) - 1);
    }

    /** Returns a new epoch above the given epoch. */
    long next(long seen) {
        long base = Math.max(clock.millis(), (seen >> DAEMON_BITS) + 1);
        long tick = last.updateAndGet(before -> Math.max(before + 1, base));
        return (tick << DAEMON_BITS) | daemonBits;
    }
}
