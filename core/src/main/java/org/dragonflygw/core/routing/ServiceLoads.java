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
 * Last stated loads of the endpoints of one service. Guarded by its own monitor, which is a leaf of the lock order.
 */
public final class ServiceLoads implements EndpointLoadSink {
    private static final long SUMS_VALID_MILLIS = 50;
    private static final long SPREAD_MILLIS = 100;
    private static final long ELSEWHERE_VALID_MILLIS = 600;

    private final InstantSource clock;
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private Map<String, Integer> capacities = Map.of();
    private int openCapacity;
    private double sum;
    private double ageWeightedSum;
    private long sumsAtMillis;
    private boolean sumsStale = true;
    private RemoteLoad elsewhere = RemoteLoad.NONE;

    public ServiceLoads(InstantSource clock) {
        this.clock = clock;
    }

    /** Sets the endpoints that take new work; loads of others are forgotten. */
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
     * Takes the sum over the endpoints whose stewards are other daemons. While it is fresh it goes before their single
     * statements, which are older.
     *
     * @param inFlight their load
     * @param capacity capacity of those that take work
     * @param ownEndpoints endpoints that the sum leaves out
     */
    public synchronized void acceptRemoteLoad(int inFlight, int capacity, Set<String> ownEndpoints) {
        elsewhere = new RemoteLoad(inFlight, capacity, Set.copyOf(ownEndpoints), clock.instant());
        sumsStale = true;
    }

    /** The load of all endpoints but the given ones. */
    public synchronized PoolLoad sumExcluding(Set<String> left) {
        int inFlight = 0;
        int capacity = 0;
        for (Map.Entry<String, Integer> entry : capacities.entrySet()) {
            EndpointLoad load = loads.get(entry.getKey());
            boolean counts = !left.contains(entry.getKey()) && (load == null || !load.closed());
            capacity += counts ? entry.getValue() : 0;
            inFlight += counts && load != null ? load.inFlight() : 0;
        }
        return new PoolLoad(inFlight, capacity);
    }

    /** Last stated load of an endpoint. */
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
     * A low estimate of the load of all other endpoints: what they last stated, less so many standard deviations of
     * the change since. Arrivals and ends are taken as Poisson processes of equal rate.
     *
     * @param endpointId endpoint that is left out
     * @param durationMillis mean duration of a request, in milliseconds
     * @param deviations number of standard deviations; 0 for what was stated
     */
    public synchronized double estimateOthersLoad(String endpointId, double durationMillis, double deviations) {
        Instant now = clock.instant();
        refreshSums(now);
        EndpointLoad own = loads.get(endpointId);
        double others = sum;
        double aged = ageWeightedSum;
        if (own != null && !own.closed()) {
            others -= own.inFlight();
            aged -= own.inFlight() * (ageMillis(own, now) + SPREAD_MILLIS);
        }
        double variance = Math.max(0, 2 * aged / Math.max(1, durationMillis));
        return Math.max(0, others - deviations * Math.sqrt(variance));
    }

    /**
     * Whether an endpoint seems to have room: it takes work, and its stated load is at most the mean. An endpoint of
     * which nothing is known has room.
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

    /** Last stated load of all endpoints. */
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
        boolean summed = elsewhere.isFresh(now);
        for (Map.Entry<String, Integer> entry : capacities.entrySet()) {
            EndpointLoad load = loads.get(entry.getKey());
            boolean inSum = summed && !elsewhere.ownEndpoints().contains(entry.getKey());
            if (inSum || (load != null && load.closed())) {
                continue;
            }
            openCapacity += entry.getValue();
            if (load == null) {
                continue;
            }
            sum += load.inFlight();
            ageWeightedSum += load.inFlight() * (ageMillis(load, now) + SPREAD_MILLIS);
        }
        if (summed) {
            long age = Duration.between(elsewhere.at(), now).toMillis() + SPREAD_MILLIS;
            sum += elsewhere.inFlight();
            ageWeightedSum += (double) elsewhere.inFlight() * age;
            openCapacity += elsewhere.capacity();
        }
        sumsAtMillis = millis;
        sumsStale = false;
    }

    private record RemoteLoad(int inFlight, int capacity, Set<String> ownEndpoints, Instant at) {
        private static final RemoteLoad NONE = new RemoteLoad(0, 0, Set.of(), Instant.EPOCH);

        private boolean isFresh(Instant now) {
            return now.isBefore(at.plusMillis(ELSEWHERE_VALID_MILLIS));
        }
    }

    private static double ageMillis(EndpointLoad load, Instant now) {
        return Math.max(0, Duration.between(load.receivedAt(), now).toMillis());
    }
}
