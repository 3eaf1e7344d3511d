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
 * The endpoints from the lagging host list, corrected by what their stewards state: an endpoint whose steward
 * closed it, because it leaves or fails, takes no new work although the list still names it live, and one that comes and
 * goes is suspended for a while. When more than half of a pool would be suspended the damping is left out, because then the list is at fault. Readers
 * take an immutable snapshot; changes and rebuilds are guarded by this object's monitor, a leaf of the lock order.
 */
public final class EndpointDirectory implements EndpointSource, EndpointLoadSink {
    private static final Duration CLOSED_VALID_FOR = Duration.ofSeconds(60);
    private static final int CAPACITY = 1;

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

    /** All endpoints, in no order. */
    public List<Endpoint> all() {
        return List.copyOf(current().byId().values());
    }

    /** Newest load that was stated for an endpoint. */
    public synchronized Optional<EndpointLoad> load(String endpointId) {
        return Optional.ofNullable(loads.get(endpointId));
    }

    /** Takes a reading of the host list; an older one than the last changes nothing. */
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
        next.keySet().stream().filter(id -> !listed.containsKey(id)).forEach(id -> joined(id, first, now));
        listed.keySet().stream().filter(id -> !next.containsKey(id)).forEach(id -> gone(id, now));
        listed = next;
        dampers.entrySet()
                .removeIf(entry ->
                        !next.containsKey(entry.getKey()) && entry.getValue().isExpired(now));
        loads.keySet().removeIf(id -> !next.containsKey(id) && !dampers.containsKey(id));
        rebuild(now);
    }

    /** Takes a load that a steward stated; an older one than the last changes nothing. */
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

    /** Notes that an endpoint that was out of reach answers again. */
    public synchronized void recordReturn(String endpointId) {
        if (listed.containsKey(endpointId)) {
            Instant now = clock.instant();
            returned(endpointId, now);
            rebuild(now);
        }
    }

    private Snapshot current() {
        Snapshot now = snapshot;
        return clock.instant().isBefore(now.validUntil()) ? now : rebuiltNow();
    }

    private synchronized Snapshot rebuiltNow() {
        rebuild(clock.instant());
        return snapshot;
    }

    private void joined(String endpointId, boolean first, Instant now) {
        events.record(EventType.ENDPOINT_JOINED, EventSubject.endpoint(endpointId), "listed");
        if (!first && dampers.containsKey(endpointId)) {
            returned(endpointId, now);
        }
        dampers.computeIfAbsent(endpointId, id -> new FlapDamper());
    }

    private void gone(String endpointId, Instant now) {
        events.record(EventType.ENDPOINT_GONE, EventSubject.endpoint(endpointId), "not listed");
        dampers.get(endpointId).onRemoved(now);
    }

    private void returned(String endpointId, Instant now) {
        FlapDamper damper = dampers.computeIfAbsent(endpointId, id -> new FlapDamper());
        boolean before = damper.isSuspended(now);
        damper.onReturn(now);
        if (!before && damper.isSuspended(now)) {
            events.record(
                    EventType.ENDPOINT_SUSPENDED,
                    EventSubject.endpoint(endpointId),
                    "comes and goes; until " + damper.restoredAt());
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
                List.copyOf(2 * damped.getOrDefault(pool, 0) > list.size() ? undamped(list, now) : list));
        Map<String, Endpoint> byId = new HashMap<>();
        pools.values().forEach(list -> list.forEach(endpoint -> byId.put(endpoint.id(), endpoint)));
        snapshot = new Snapshot(Map.copyOf(pools), Map.copyOf(byId), validUntil);
    }

    private EndpointState state(HostEntry host, Instant now) {
        if (host.state() == HostState.LEAVING) {
            return EndpointState.LEAVING;
        }
        boolean takesNothing = isClosed(host.id(), now) || isDamped(host.id(), now);
        return takesNothing ? EndpointState.SUSPENDED : EndpointState.LIVE;
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
        return load.receivedAt().plus(CLOSED_VALID_FOR);
    }

    private List<Endpoint> undamped(List<Endpoint> endpoints, Instant now) {
        return endpoints.stream().map(endpoint -> undamped(endpoint, now)).toList();
    }

    private Endpoint undamped(Endpoint endpoint, Instant now) {
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
                CAPACITY,
                state);
    }

    private record Snapshot(Map<String, List<Endpoint>> pools, Map<String, Endpoint> byId, Instant validUntil) {}
}
