package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes ids of requests: a random part drawn once for each process, so that ids of different processes differ, and a
 * counter. Safe from every thread and without a lock.
 */
@Singleton
public final class RequestIdGenerator {
    private final String prefix;
    private final AtomicLong count = new AtomicLong();

    @Inject
    public RequestIdGenerator() {
        prefix = "req-" + HexFormat.of().toHexDigits(new SecureRandom().nextLong()) + "-";
    }

    /** A new id. */
    public String next() {
        return prefix + Long.toHexString(count.incrementAndGet());
    }
}
