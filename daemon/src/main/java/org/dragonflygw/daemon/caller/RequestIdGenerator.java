package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids from a random prefix and a counter. The prefix is drawn once per process, so that ids of
 * different processes differ. Thread-safe without a lock.
 */
@Singleton
public final class RequestIdGenerator {
    private final String prefix;
    private final AtomicLong count = new AtomicLong();

    @Inject
    public RequestIdGenerator() {
        prefix = "req-" + HexFormat.of().toHexDigits(new SecureRandom().nextLong()) + "-";
    }

    /** Returns a new id. */
    public String next() {
        return prefix + Long.toHexString(count.incrementAndGet());
    }
}
