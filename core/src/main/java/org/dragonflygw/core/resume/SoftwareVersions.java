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
 * The software versions that endpoints of each service have had for as long as streams last, and which of them the store
 * names. A process that has just started learns the past from the store, see {@link VersionKeeper}. Not thread-safe.
 */
public final class SoftwareVersions {
    /** Time after which no stream goes on that an endpoint began, in nanoseconds; several times a caller's deadline. */
    private static final long MEMORY_NANOS = 60_000_000_000L;

    /** Age of the list of endpoints, in milliseconds, from which it may lack a new version. */
    private static final long MAX_LIST_AGE_MS = 5_000;

    /** Time without endpoints, in nanoseconds, after which the row of a version that returns is confirmed again. */
    private static final long MAX_ABSENCE_NANOS = 10_000_000_000L;

    /**
     * Time in nanoseconds for which other versions are preferred to one that the store does not name. A write takes a few
     * milliseconds; if the store cannot be written, a release must go on.
     */
    private static final long MAX_WAIT_NANOS = 5_000_000_000L;

    /** Name under which the routes of the configuration are kept like versions of a service. */
    static final String ROUTES = "";

    private static final String CONFIGURATION = "configuration";

    private final LongSupplier listAgeMs;
    private final MonotonicClock clock;
    private final Map<String, Map<String, Seen>> byService = new HashMap<>();

    /** Services whose versions of the time before this process the store named. */
    private final Set<String> knownPast = new HashSet<>();

    /** Time since which the list of endpoints was never old. */
    private long listSinceNanos;

    private String routes = "";
    private boolean listKnown;
    private boolean listFresh;
    private boolean storeRead;
    private long storeReadNanos;

    /**
     * Creates an empty record.
     *
     * @param listAgeMs supplies the age of the list of endpoints in milliseconds, -1 if there is none
     */
    public SoftwareVersions(LongSupplier listAgeMs, MonotonicClock clock) {
        this.listAgeMs = listAgeMs;
        this.clock = clock;
    }

    /** Records an endpoint of the list, ready or draining. */
    public void onUpdated(DiscoveredEndpoint endpoint) {
        Seen seen = seen(endpoint.service(), endpoint.version());
        long now = clock.nanos();
        if (!listKnown) {
            listKnown = true;
            listFresh = true;
            listSinceNanos = now;
        }
        if (seen.endpoints.isEmpty() && now - seen.lastNanos > MAX_ABSENCE_NANOS) {
            seen.forgetRow(now);
        }
        seen.endpoints.add(endpoint.id());
    }

    /** Records that an endpoint left the list. */
    public void onRemoved(DiscoveredEndpoint endpoint) {
        Seen seen = seen(endpoint.service(), endpoint.version());
        seen.endpoints.remove(endpoint.id());
        seen.lastNanos = clock.nanos();
    }

    /**
     * Records the routes in force. If they have changed lately, a stream may have begun at another service.
     *
     * @param digest see {@link ResumableRoutes#digest}
     */
    public void onRoutes(String digest) {
        if (digest.equals(routes)) {
            return;
        }
        if (!routes.isEmpty()) {
            Seen before = seen(ROUTES, routes);
            before.endpoints.clear();
            before.lastNanos = clock.nanos();
        }
        routes = digest;
        seen(ROUTES, digest).endpoints.add(CONFIGURATION);
    }

    private Seen seen(String service, String version) {
        return byService
                .computeIfAbsent(service, s -> new HashMap<>())
                .computeIfAbsent(version, v -> new Seen(clock.nanos()));
    }

    /** Records versions at which streams may have begun until just now, though the store may name others, too. */
    void onPossible(String service, Set<String> versions) {
        versions.forEach(v -> seen(service, v));
    }

    /** Records all versions of a service that the store names at the start; streams may have begun at them until just now. */
    public void onStored(String service, Set<String> versions) {
        onPossible(service, versions);
        knownPast.add(service);
    }

    /** Records that all rows of the store were passed to {@link #onStored}. */
    public void onStoreRead() {
        storeRead = true;
        storeReadNanos = clock.nanos();
    }

    /** Records that the store names versions of a service now; those that have gone are ignored. */
    void onNamed(String service, Set<String> versions) {
        Map<String, Seen> seen = recent(service);
        versions.stream().filter(seen::containsKey).forEach(v -> seen.get(v).named = true);
    }

    /** Records that the store no longer has what this process wrote or read. */
    void onStoreLost() {
        long now = clock.nanos();
        byService.values().forEach(versions -> versions.values().forEach(s -> s.forgetRow(now)));
    }

    /** Returns the versions of each service that the store is not known to name; services without such are left out. */
    Map<String, Set<String>> unnamed() {
        Map<String, Set<String>> unnamed = new HashMap<>();
        for (String service : byService.keySet()) {
            recent(service).forEach((version, seen) -> {
                if (!seen.named) {
                    unnamed.computeIfAbsent(service, s -> new TreeSet<>()).add(version);
                }
            });
        }
        return unnamed;
    }

    /** Returns whether no stream can go on any more that began at a version. */
    boolean isGone(String service, String version) {
        return !recent(service).containsKey(version);
    }

    /** Returns whether a service has or had more than one version, or may have had streams that another one began. */
    public boolean several(String service) {
        return recent(service).size() > 1 || recent(ROUTES).size() > 1;
    }

    /** Retains the services that have another version than one that the store does not name. */
    void retainAvoided(Set<String> services) {
        services.removeIf(s -> s.equals(ROUTES) || recent(s).size() < 2);
    }

    /**
     * Returns the endpoints at which no stream should begin if another endpoint can take it, because the store does not name
     * their version yet: after the loss of all hosts nobody would know of it.
     */
    public Set<String> unnamedEndpoints(String service) {
        Map<String, Seen> versions = byService.get(service);
        if (versions == null || versions.size() < 2) {
            return Set.of();
        }
        long now = clock.nanos();
        Set<String> ids = new HashSet<>();
        for (Seen seen : versions.values()) {
            if (!seen.named && now - seen.unnamedSinceNanos < MAX_WAIT_NANOS) {
                ids.addAll(seen.endpoints);
            }
        }
        return ids;
    }

    /** Notices whether the list of endpoints is old. Must be called several times in the time in which it becomes old. */
    void observe() {
        long ageMs = listAgeMs.getAsLong();
        boolean fresh = ageMs >= 0 && ageMs <= MAX_LIST_AGE_MS;
        long now = clock.nanos();
        if (fresh && !listFresh) {
            listSinceNanos = now;
        }
        boolean missing = storeRead && now - storeReadNanos > MAX_LIST_AGE_MS * 1_000_000;
        if (!fresh && (listFresh || missing)) {
            knownPast.clear(); // A version may have come and gone since the rows were read.
        }
        listFresh = fresh;
    }

    /** Returns the only version that can have begun a stream; nothing if there were several or it is not certain. */
    public Optional<String> only(String service) {
        observe();
        boolean sameRoutes =
                routes.isEmpty() || (knowsThePast(ROUTES) && recent(ROUTES).size() == 1);
        if (!listFresh || !knowsThePast(service) || !sameRoutes) {
            return Optional.empty();
        }
        Map<String, Seen> versions = recent(service);
        return versions.size() == 1
                ? Optional.of(versions.keySet().iterator().next()).filter(v -> !v.isEmpty())
                : Optional.empty();
    }

    private boolean knowsThePast(String service) {
        return (storeRead && knownPast.contains(service)) || clock.nanos() - listSinceNanos >= MEMORY_NANOS;
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

        /** Whether the store names the version. */
        private boolean named;

        private long unnamedSinceNanos;

        Seen(long nowNanos) {
            this.lastNanos = nowNanos;
            this.unnamedSinceNanos = nowNanos;
        }

        void forgetRow(long nowNanos) {
            named = false;
            unnamedSinceNanos = nowNanos;
        }
    }
}
