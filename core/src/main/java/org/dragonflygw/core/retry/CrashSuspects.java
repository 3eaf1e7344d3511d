package org.dragonflygw.core.retry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that may crash the endpoints that run them. A request is known by a fingerprint, since callers send it again
 * under new ids and through any host; hosts tell each other at which endpoints it was under way when the connection was
 * lost. From three different endpoints on it is no longer sent, until nothing was lost for a while; a whole answer
 * clears it. Used by one thread.
 */
public final class CrashSuspects {
    /** Fingerprint of requests that are not followed. */
    public static final long NO_FINGERPRINT = 0;

    /** Different endpoints that were lost from which a request is no longer sent. */
    private static final int ENDPOINTS_TO_HOLD = 3;

    /** How long a loss counts, in nanoseconds: endpoints are back after some seconds, and callers soon after. */
    private static final long MEMORY_NANOS = 60_000_000_000L;

    /** How long a loss is told to other hosts, in nanoseconds: each host of a large fleet is told twice in it. */
    private static final long TELL_NANOS = 4_000_000_000L;

    /** Fingerprints that are kept; those whose last loss is oldest go first. */
    private static final int MAX_SUSPECTS = 1_000;

    /** Fingerprints in one report: what one host had at an engine that crashed. */
    private static final int MAX_TOLD = 32;

    private final Map<Long, Losses> byFingerprint = new LinkedHashMap<>();

    /** Notes that the connection to an endpoint was lost while it may have worked on a request. */
    public void onConnectionLost(long fingerprint, String endpoint, long nowNanos) {
        if (fingerprint != NO_FINGERPRINT) {
            add(fingerprint, Set.of(endpoint), nowNanos);
        }
    }

    /** Notes that a request was answered in whole. */
    public void onCompleted(long fingerprint) {
        byFingerprint.remove(fingerprint);
    }

    /** Takes what another host saw. */
    public void accept(CrashSuspect suspect, long nowNanos) {
        Losses known = byFingerprint.get(suspect.fingerprint());
        if (known == null || !known.endpoints.containsAll(suspect.endpoints())) {
            add(suspect.fingerprint(), suspect.endpoints(), nowNanos);
        }
    }

    private void add(long fingerprint, Set<String> endpoints, long nowNanos) {
        expire(nowNanos);
        Losses losses = byFingerprint.remove(fingerprint);
        if (losses == null) {
            losses = new Losses();
        }
        losses.endpoints.addAll(endpoints);
        losses.lastNanos = nowNanos;
        byFingerprint.put(fingerprint, losses);
        if (byFingerprint.size() > MAX_SUSPECTS) {
            byFingerprint.remove(byFingerprint.keySet().iterator().next());
        }
    }

    private void expire(long nowNanos) {
        Iterator<Losses> oldestFirst = byFingerprint.values().iterator();
        while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().lastNanos > MEMORY_NANOS) {
            oldestFirst.remove();
        }
    }

    /** Time for which a request is not sent, in nanoseconds; 0 if it may be sent. */
    public long remainingBlockNanos(long fingerprint, long nowNanos) {
        Losses losses = byFingerprint.get(fingerprint);
        if (losses == null || losses.endpoints.size() < ENDPOINTS_TO_HOLD) {
            return 0;
        }
        return Math.max(0, losses.lastNanos + MEMORY_NANOS - nowNanos);
    }

    /** What other hosts should know: the newest losses. */
    public List<CrashSuspect> recentLosses(long nowNanos) {
        List<CrashSuspect> news = new ArrayList<>();
        byFingerprint.forEach((fingerprint, losses) -> {
            if (nowNanos - losses.lastNanos <= TELL_NANOS) {
                news.add(new CrashSuspect(fingerprint, losses.endpoints));
            }
        });
        return news.size() <= MAX_TOLD ? news : news.subList(news.size() - MAX_TOLD, news.size());
    }

    private static final class Losses {
        private final Set<String> endpoints = new HashSet<>();
        private long lastNanos;
    }
}
