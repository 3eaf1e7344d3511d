package org.dragonflygw.core.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts that ended without a complete response while their endpoint may still be alive: it fell silent, sent malformed
 * bytes or was too late, or the caller left. If the endpoint turns out to have ended, the requests may be the reason. Not
 * thread-safe.
 *
 * @param <T> what is remembered of an attempt
 */
final class UnfinishedAttempts<T> {
    /** Time after an attempt within which an end of its endpoint is attributed to it: an entry outlives its endpoint. */
    private static final long ATTRIBUTION_NANOS = 10_000_000_000L;

    /** Maximum number of remembered attempts per endpoint: several times the requests that one host has on an engine. */
    private static final int MAX_PER_ENDPOINT = 256;

    /** Maximum number of endpoints with remembered attempts, and of remembered ends. */
    private static final int MAX_ENDPOINTS = 1_000;

    private final Map<String, Deque<Attempt<T>>> byEndpoint = new HashMap<>();
    private final Map<String, Boolean> ended = new LinkedHashMap<>();

    private record Attempt<T>(T value, long atNanos) {}

    /**
     * Records an attempt that ended without a complete response.
     *
     * @param endpoint instance of the endpoint
     * @return whether the endpoint is known to have ended, so that the attempt need not be remembered
     */
    boolean add(T value, String endpoint, long nowNanos) {
        if (ended.containsKey(endpoint)) {
            return true;
        }
        Deque<Attempt<T>> attempts = byEndpoint.get(endpoint);
        if (attempts == null) {
            removeOld(nowNanos);
            if (byEndpoint.size() >= MAX_ENDPOINTS) {
                return false;
            }
            attempts = new ArrayDeque<>();
            byEndpoint.put(endpoint, attempts);
        }
        attempts.addLast(new Attempt<>(value, nowNanos));
        if (attempts.size() > MAX_PER_ENDPOINT) {
            attempts.removeFirst();
        }
        return false;
    }

    private void removeOld(long nowNanos) {
        byEndpoint.values().removeIf(a -> nowNanos - a.peekLast().atNanos > ATTRIBUTION_NANOS);
    }

    /** Records that an endpoint ended, for attempts that end later. */
    void onEnded(String endpoint) {
        ended.put(endpoint, true);
        if (ended.size() > MAX_ENDPOINTS) {
            ended.remove(ended.keySet().iterator().next());
        }
    }

    /** Removes the recent attempts at an endpoint and returns what was remembered of them. */
    List<T> take(String endpoint, long nowNanos) {
        Deque<Attempt<T>> attempts = byEndpoint.remove(endpoint);
        List<T> values = new ArrayList<>();
        if (attempts != null) {
            attempts.stream()
                    .filter(a -> nowNanos - a.atNanos <= ATTRIBUTION_NANOS)
                    .forEach(a -> values.add(a.value));
        }
        return values;
    }
}
