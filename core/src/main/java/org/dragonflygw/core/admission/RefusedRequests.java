package org.dragonflygw.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/** Fingerprints of the requests that this host refused lately, by which it knows them again. Not thread-safe. */
final class RefusedRequests {
    /** Time for which a refusal is remembered, in nanoseconds; longer than any stated retry time. */
    private static final long RETENTION_NANOS = 10_000_000_000L;

    private static final int MAX_ENTRIES = 512;

    private final Map<Long, Long> refusedNanos = new LinkedHashMap<>();

    void add(long fingerprint, long nowNanos) {
        refusedNanos.remove(fingerprint);
        refusedNanos.put(fingerprint, nowNanos);
        if (refusedNanos.size() > MAX_ENTRIES) {
            refusedNanos.remove(refusedNanos.keySet().iterator().next());
        }
    }

    /** Returns whether a request was refused lately, and forgets the refusal. */
    boolean remove(long fingerprint, long nowNanos) {
        Long refused = refusedNanos.remove(fingerprint);
        return refused != null && nowNanos - refused < RETENTION_NANOS;
    }
}
