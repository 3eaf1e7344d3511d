package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;

/**
 * Last stated loads of the endpoints of one service. Thread safe; the monitor is a leaf of the lock order.
 */
public final class ServiceLoads implements EndpointLoadSink {
    private static final long SUMS_VALID_MILLIS = 50;
    /** Assumed time between the statement of a load and its receipt. */
    private static final long DELIVERY_DELAY_MILLIS = 100;

    private static final long REMOTE_LOAD_VALID_MILLIS = 600;

    private final InstantSource clock;
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private Map<String, Integer> capacities = Map.of();
    private int openCapacity;
    private double sum;
    private double ageWeightedSum;
    private long sumsAtMillis;
    private boolean sumsStale = true;
    private RemoteLoad remoteLoad = RemoteLoad.NONE;

    public ServiceLoads(InstantSource clock) {
        this.clock = clock;
    }

    /** Sets the endpoints of the service that are not leaving; loads of other endpoints are discarded. */
    public synchronized void setEndpoints(List<Endpoint> endpoints) {
        Map<String, Integer> next = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() != EndpointState.LEAVING) {
                int capacity = Math.max(1, endpoint.capacity());
                next.put(endpoint.id(), capacity);
            }
        }
        capacities = next;
        loads.keySet().retainAll(next.keySet());
        sumsStale = true;
    }

    @Override
    public synchronized void accept(EndpointLoad load) {
        if (!capacities.containsKey(load.endpointId())) {
            return;
        }
        EndpointLoad known = loads.get(load.endpointId());
        if (known == null || load.isNewerThan(known)) {
            loads.put(load.endpointId(), load);
            sumsStale = true;
        }
    }

    /**
     * Accepts the summed load of the endpoints whose stewards are other daemons. While this sum is fresh, it replaces
     * the single statements of those endpoints, which are older.
     *
     * @param inFlight requests on these endpoints
     * @param capacity capacity of those endpoints that take work
     * @param ownEndpoints ids of the endpoints that the sum does not include
     */
    public synchronized void acceptRemoteLoad(int inFlight, int capacity, Set<String> ownEndpoints) {
        remoteLoad = new RemoteLoad(inFlight, capacity, Set.copyOf(ownEndpoints), clock.instant());
        sumsStale = true;
    }

    /** Sum of the stated loads of all endpoints that take work, except the given ones. */
    public synchronized PoolLoad sumExcluding(Set<String> excluded) {
        int inFlight = 0;
        int capacity = 0;
        for (Map.Entry<String, Integer> entry : capacities.entrySet()) {
            EndpointLoad load = loads.get(entry.getKey());
            boolean counted = !excluded.contains(entry.getKey()) && (load == null || !load.closed());
            capacity += counted ? entry.getValue() : 0;
            inFlight += counted && load != null ? load.inFlight() : 0;
        }
        return new PoolLoad(inFlight, capacity);
    }

    /** Last stated load of an endpoint; empty if none was stated. */
    public synchronized Optional<EndpointLoad> find(String endpointId) {
        return Optional.ofNullable(loads.get(endpointId));
    }

    /** Sum of the capacities of the endpoints that take work. */
    public synchronized int totalCapacity() {
        refreshSums(clock.instant());
        return openCapacity;
    }

    /** Capacity of an endpoint; 1 when it is unknown. */
    public synchronized int capacity(String endpointId) {
        return capacities.getOrDefault(endpointId, 1);
    }

    /**
     * Returns a low estimate of the load of all other endpoints: the stated load less a number of standard deviations
     * of the change since. Arrivals and completions are modelled as Poisson processes of equal rate.
     *
     * @param endpointId endpoint to exclude
     * @param durationMillis mean duration of a request, in milliseconds
     * @param deviations number of standard deviations; 0 for the stated load
     */
    public synchronized double estimateOthersLoad(String endpointId, double durationMillis, double deviations) {
        Instant now = clock.instant();
        refreshSums(now);
        EndpointLoad own = loads.get(endpointId);
        double others = sum;
        double othersAgeWeighted = ageWeightedSum;
        if (own != null && !own.closed()) {
            others -= own.inFlight();
            othersAgeWeighted -= own.inFlight() * (ageMillis(own, now) + DELIVERY_DELAY_MILLIS);
        }
        double variance = Math.max(0, 2 * othersAgeWeighted / Math.max(1, durationMillis));
        return Math.max(0, others - deviations * Math.sqrt(variance));
    }

    /**
     * Whether an endpoint takes work, has no queue, and has a stated load of at most the mean. True for an endpoint
     * without a stated load.
     */
    public synchronized boolean isBelowMean(String endpointId) {
        EndpointLoad load = loads.get(endpointId);
        if (load == null) {
            return true;
        }
        refreshSums(clock.instant());
        double mean = openCapacity == 0 ? 0 : sum / openCapacity;
        return !load.closed() && load.queued() == 0 && load.inFlight() <= mean * capacity(endpointId);
    }

    /** Sum of the stated loads of all endpoints that take work. */
    public synchronized double statedLoad() {
        refreshSums(clock.instant());
        return sum;
    }

    private void refreshSums(Instant now) {
        long millis = now.toEpochMilli();
        if (!sumsStale && millis - sumsAtMillis < SUMS_VALID_MILLIS) {
            return;
        }
        sum = 0;
        ageWeightedSum = 0;
        openCapacity = 0;
        boolean remoteLoadFresh = remoteLoad.isFresh(now);
        for (Map.Entry<String, Integer> entry : capacities.entrySet()) {
            EndpointLoad load = loads.get(entry.getKey());
            boolean inRemoteLoad = remoteLoadFresh && !remoteLoad.ownEndpoints().contains(entry.getKey());
            if (inRemoteLoad || (load != null && load.closed())) {
                continue;
            }
            openCapacity += entry.getValue();
            if (load == null) {
                continue;
            }
            sum += load.inFlight();
            ageWeightedSum += load.inFlight() * (ageMillis(load, now) + DELIVERY_DELAY_MILLIS);
        }
        if (remoteLoadFresh) {
            long age = Duration.between(remoteLoad.at(), now).toMillis() + DELIVERY_DELAY_MILLIS;
            sum += remoteLoad.inFlight();
            ageWeightedSum += (double) remoteLoad.inFlight() * age;
            openCapacity += remoteLoad.capacity();
        }
        sumsAtMillis = millis;
        sumsStale = false;
    }

    private record RemoteLoad(int inFlight, int capacity, Set<String> ownEndpoints, Instant at) {
        private static final RemoteLoad NONE = new RemoteLoad(0, 0, Set.of(), Instant.EPOCH);

        private boolean isFresh(Instant now) {
            return now.isBefore(at.plusMillis(REMOTE_LOAD_VALID_MILLIS));
        }
    }

    private static double ageMillis(EndpointLoad load, Instant now) {
        return Math.max(0, Duration.between(load.receivedAt(), now).toMillis());
    }
}
