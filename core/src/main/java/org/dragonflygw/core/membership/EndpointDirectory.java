package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointLoadSink;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Endpoints of the host list, which lags behind, corrected by the load statements of their stewards. An endpoint that
 * its steward closed, because it leaves or fails, takes no new work even if the host list still names it live. An
 * endpoint that flaps is suspended for a time; if flapping would suspend more than half of a pool, the host list is
 * at fault and the suspensions of that pool are ignored.
 *
 * <p>Thread-safe: readers use an immutable snapshot; updates and rebuilds hold this object's monitor, which is a leaf
 * in the lock order.
 */
public final class EndpointDirectory implements EndpointSource, EndpointLoadSink {
    private static final Duration CLOSED_VALIDITY = Duration.ofSeconds(60);
    private static final int DEFAULT_CAPACITY = 1;

    private final InstantSource clock;
    private final EventRecorder events;
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private final Map<String, FlapDamper> dampers = new HashMap<>();
    private Map<String, HostEntry> listed = Map.of();
    private long generation = Long.MIN_VALUE;
    private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of(), Instant.MAX);

    public EndpointDirectory(InstantSource clock, EventRecorder events) {
        this.clock = clock;
        this.events = events;
    }

    @Override
    public List<Endpoint> endpoints(String pool) {
        return current().pools().getOrDefault(pool, List.of());
    }

    /** All endpoints, in no particular order. */
    public List<Endpoint> all() {
        return List.copyOf(current().byId().values());
    }

    /** Newest load statement for an endpoint; empty if there is none. */
    public synchronized Optional<EndpointLoad> load(String endpointId) {
        return Optional.ofNullable(loads.get(endpointId));
    }

    /** Applies a version of the host list; ignored if its generation is older than the last. */
    public synchronized void accept(HostListing listing) {
        if (listing.generation() < generation) {
            return;
        }
        Map<String, HostEntry> next = new HashMap<>();
        for (HostEntry host : listing.hosts()) {
            if (host.role() != HostRole.ROUTER) {
                next.put(host.id(), host);
            }
        }
        Instant now = clock.instant();
        boolean first = generation == Long.MIN_VALUE;
        generation = listing.generation();
        next.keySet().stream().filter(id -> !listed.containsKey(id)).forEach(id -> onListed(id, first, now));
        listed.keySet().stream().filter(id -> !next.containsKey(id)).forEach(id -> onUnlisted(id, now));
        listed = next;
        dampers.entrySet()
                .removeIf(entry ->
                        !next.containsKey(entry.getKey()) && entry.getValue().isExpired(now));
        loads.keySet().removeIf(id -> !next.containsKey(id) && !dampers.containsKey(id));
        rebuild(now);
    }

    /** Applies a load statement of a steward; ignored unless it is newer than the last one for the endpoint. */
    @Override
    public synchronized void accept(EndpointLoad load) {
        EndpointLoad known = loads.get(load.endpointId());
        if (known != null && !load.isNewerThan(known)) {
            return;
        }
        loads.put(load.endpointId(), load);
        boolean wasClosed = known != null && known.closed();
        if (wasClosed != load.closed()) {
            rebuild(clock.instant());
        }
    }

    /** Counts a return, for flap damping, when an endpoint that was unreachable answers again. */
    public synchronized void recordReturn(String endpointId) {
        if (listed.containsKey(endpointId)) {
            Instant now = clock.instant();
            onReturn(endpointId, now);
            rebuild(now);
        }
    }

    private Snapshot current() {
        Snapshot now = snapshot;
        return clock.instant().isBefore(now.validUntil()) ? now : rebuildNow();
    }

    private synchronized Snapshot rebuildNow() {
        rebuild(clock.instant());
        return snapshot;
    }

    private void onListed(String endpointId, boolean first, Instant now) {
        events.record(EventType.ENDPOINT_JOINED, EventSubject.endpoint(endpointId), "listed");
        if (!first && dampers.containsKey(endpointId)) {
            onReturn(endpointId, now);
        }
        dampers.computeIfAbsent(endpointId, id -> new FlapDamper());
    }

    private void onUnlisted(String endpointId, Instant now) {
        events.record(EventType.ENDPOINT_GONE, EventSubject.endpoint(endpointId), "no longer in the host list");
        dampers.get(endpointId).onRemoved(now);
    }

    private void onReturn(String endpointId, Instant now) {
        FlapDamper damper = dampers.computeIfAbsent(endpointId, id -> new FlapDamper());
        boolean before = damper.isSuspended(now);
        damper.onReturn(now);
        if (!before && damper.isSuspended(now)) {
            events.record(
                    EventType.ENDPOINT_SUSPENDED,
                    EventSubject.endpoint(endpointId),
                    "flapping; until " + damper.restoredAt());
        }
    }

    private void rebuild(Instant now) {
        Map<String, List<Endpoint>> pools = new HashMap<>();
        Map<String, Integer> damped = new HashMap<>();
        Instant validUntil = Instant.MAX;
        for (HostEntry host : listed.values()) {
            EndpointState state = state(host, now);
            pools.computeIfAbsent(host.pool(), pool -> new ArrayList<>()).add(endpoint(host, state));
            if (isClosed(host.id(), now)) {
                validUntil = earlier(validUntil, closedUntil(loads.get(host.id())));
            }
            if (isDamped(host.id(), now)) {
                damped.merge(host.pool(), 1, Integer::sum);
                validUntil = earlier(validUntil, dampers.get(host.id()).restoredAt());
            }
        }
        pools.replaceAll((pool, list) ->
                List.copyOf(2 * damped.getOrDefault(pool, 0) > list.size() ? withoutDamping(list, now) : list));
        Map<String, Endpoint> byId = new HashMap<>();
        pools.values().forEach(list -> list.forEach(endpoint -> byId.put(endpoint.id(), endpoint)));
        snapshot = new Snapshot(Map.copyOf(pools), Map.copyOf(byId), validUntil);
    }

    private EndpointState state(HostEntry host, Instant now) {
        if (host.state() == HostState.LEAVING) {
            return EndpointState.LEAVING;
        }
        boolean takesNoWork = isClosed(host.id(), now) || isDamped(host.id(), now);
        return takesNoWork ? EndpointState.SUSPENDED : EndpointState.LIVE;
    }

    private boolean isClosed(String endpointId, Instant now) {
        EndpointLoad load = loads.get(endpointId);
        return load != null && load.closed() && now.isBefore(closedUntil(load));
    }

    private boolean isDamped(String endpointId, Instant now) {
        FlapDamper damper = dampers.get(endpointId);
        return damper != null && damper.isSuspended(now);
    }

    private static Instant closedUntil(EndpointLoad load) {
        return load.receivedAt().plus(CLOSED_VALIDITY);
    }

    private List<Endpoint> withoutDamping(List<Endpoint> endpoints, Instant now) {
        return endpoints.stream().map(endpoint -> withoutDamping(endpoint, now)).toList();
    }

    private Endpoint withoutDamping(Endpoint endpoint, Instant now) {
        boolean onlyDamped = endpoint.state() == EndpointState.SUSPENDED && !isClosed(endpoint.id(), now);
        return onlyDamped ? withState(endpoint, EndpointState.LIVE) : endpoint;
    }

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }

    private static Endpoint withState(Endpoint endpoint, EndpointState state) {
        return new Endpoint(
                endpoint.id(),
                endpoint.pool(),
                endpoint.address(),
                endpoint.port(),
                endpoint.availabilityZone(),
                endpoint.region(),
                endpoint.capacity(),
                state);
    }

    private static Endpoint endpoint(HostEntry host, EndpointState state) {
        return new Endpoint(
                host.id(),
                host.pool(),
                host.address(),
                host.port(),
                host.availabilityZone(),
                host.region(),
                DEFAULT_CAPACITY,
                state);
    }

    private record Snapshot(Map<String, List<Endpoint>> pools, Map<String, Endpoint> byId, Instant validUntil) {}
}
