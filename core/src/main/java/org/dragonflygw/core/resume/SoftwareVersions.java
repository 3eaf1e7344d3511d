package org.dragonflygw.core.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * The software versions that endpoints of each service have had for as long as streams last. A process that has just
 * started learns the past from the store, where hosts keep these versions. Not thread-safe.
 */
public final class SoftwareVersions {
    /** Time after which no stream goes on that an endpoint began, in nanoseconds; several times a caller's deadline. */
    private static final long MEMORY_NANOS = 60_000_000_000L;

    /** Age of the list of endpoints, in milliseconds, from which it may lack a new version. */
    private static final long MAX_LIST_AGE_MS = 5_000;

    private final LongSupplier listAgeMs;
    private final MonotonicClock clock;
    private final long startedNanos;
    private final Map<String, Map<String, Seen>> byService = new HashMap<>();
    private final Map<String, Set<String>> stored = new HashMap<>();
    private boolean storeRead;

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
        seen(endpoint.service(), endpoint.version()).endpoints.add(endpoint.id());
    }

    /** Records that an endpoint left the list. */
    public void onRemoved(DiscoveredEndpoint endpoint) {
        Seen seen = seen(endpoint.service(), endpoint.version());
        seen.endpoints.remove(endpoint.id());
        seen.lastNanos = clock.nanos();
    }

    private Seen seen(String service, String version) {
        return byService
                .computeIfAbsent(service, s -> new HashMap<>())
                .computeIfAbsent(version, v -> new Seen(clock.nanos()));
    }

    /** Records the versions of a service that the store has; streams may have begun at them until just now. */
    public void onStored(String service, Set<String> versions) {
        versions.forEach(v -> seen(service, v));
        stored.put(service, Set.copyOf(versions));
    }

    /** Records that all rows of the store were passed to {@link #onStored}. */
    public void onStoreRead() {
        storeRead = true;
    }

    /** Records that the store no longer has what this process wrote or read. */
    public void onStoreLost() {
        stored.clear();
    }

    /** Returns the services whose versions differ from those in the store, with the versions; none before it was read. */
    public Map<String, Set<String>> toStore() {
        Map<String, Set<String>> changed = new HashMap<>();
        if (!storeRead) {
            return changed;
        }
        for (String service : byService.keySet()) {
            Set<String> versions = recent(service).keySet();
            if (!versions.equals(stored.getOrDefault(service, Set.of()))) {
                changed.put(service, new TreeSet<>(versions));
            }
        }
        return changed;
    }

    /** Returns the only version that can have begun a stream; nothing if there were several or it is not certain. */
    public Optional<String> only(String service) {
        long ageMs = listAgeMs.getAsLong();
        boolean knowsThePast = storeRead || clock.nanos() - startedNanos >= MEMORY_NANOS;
        if (!knowsThePast || ageMs < 0 || ageMs > MAX_LIST_AGE_MS) {
            return Optional.empty();
        }
        Map<String, Seen> versions = recent(service);
        return versions.size() == 1
                ? Optional.of(versions.keySet().iterator().next()).filter(v -> !v.isEmpty())
                : Optional.empty();
    }

    private Map<String, Seen> recent(String service) {
        long now = clock.nanos();
        Map<String, Seen> versions = byService.getOrDefault(service, new HashMap<>());
        versions.values().removeIf(s -> s.endpoints.isEmpty() && now - s.lastNanos > MEMORY_NANOS);
        return versions;
    }

    private static final class Seen {
        private final Set<String> endpoints = new HashSet<>();
        private long lastNanos;

        Seen(long nowNanos) {
            this.lastNanos = nowNanos;
        }
    }
}
