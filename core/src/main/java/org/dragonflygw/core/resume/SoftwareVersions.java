package org.dragonflygw.core.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.lease.MonotonicClock;

/** The software versions that endpoints of each service have had for as long as streams last. Not thread-safe. */
public final class SoftwareVersions {
    /** Time after which no stream goes on that an endpoint began, in nanoseconds; several times a caller's deadline. */
    private static final long MEMORY_NANOS = 60_000_000_000L;

    /** Age of the list of endpoints, in milliseconds, from which it may lack a new version. */
    private static final long MAX_LIST_AGE_MS = 5_000;

    private final LongSupplier listAgeMs;
    private final MonotonicClock clock;
    private final long startedNanos;
    private final Map<String, Map<String, Seen>> byService = new HashMap<>();

    /**
     * Creates an empty record.
     *
     * @param listAgeMs supplies the age of the list of endpoints in milliseconds, -1 if there is none
     */
    public SoftwareVersions(LongSupplier listAgeMs, MonotonicClock clock) {
        this.listAgeMs = listAgeMs;
        this.clock = clock;
        this.startedNanos = clock.nanos();
    }

    /** Records an endpoint of the list, ready or draining. */
    public void onUpdated(DiscoveredEndpoint endpoint) {
        seen(endpoint).endpoints.add(endpoint.id());
    }

    /** Records that an endpoint left the list. */
    public void onRemoved(DiscoveredEndpoint endpoint) {
        Seen seen = seen(endpoint);
        seen.endpoints.remove(endpoint.id());
        seen.lastNanos = clock.nanos();
    }

    private Seen seen(DiscoveredEndpoint endpoint) {
        return byService
                .computeIfAbsent(endpoint.service(), s -> new HashMap<>())
                .computeIfAbsent(endpoint.version(), v -> new Seen(clock.nanos()));
    }

    /** Returns the only version that can have begun a stream; nothing if there were several or it is not certain. */
    public Optional<String> only(String service) {
        long now = clock.nanos();
        long ageMs = listAgeMs.getAsLong();
        if (now - startedNanos < MEMORY_NANOS || ageMs < 0 || ageMs > MAX_LIST_AGE_MS) {
            return Optional.empty();
        }
        Map<String, Seen> versions = byService.getOrDefault(service, Map.of());
        versions.values().removeIf(s -> s.endpoints.isEmpty() && now - s.lastNanos > MEMORY_NANOS);
        return versions.size() == 1
                ? Optional.of(versions.keySet().iterator().next()).filter(v -> !v.isEmpty())
                : Optional.empty();
    }

    private static final class Seen {
        private final Set<String> endpoints = new HashSet<>();
        private long lastNanos;

        Seen(long nowNanos) {
            this.lastNanos = nowNanos;
        }
    }
}
