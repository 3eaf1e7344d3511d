package org.dragonflygw.core.peers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** A received {@link FleetLoad} without the share of this host. Not thread-safe. */
public final class FleetSum {
    private static final long NANOS_PER_MS = 1_000_000;

    private final FleetLoad load;
    private final long arrivalNanos;
    private final Map<Integer, Integer> sequences = new HashMap<>();
    private final SumOfLoads others = new SumOfLoads();

    /**
     * Creates a sum.
     *
     * @param own loads of this host that are part of it
     */
    FleetSum(FleetLoad load, List<EndpointSum> own, long arrivalNanos) {
        this.load = load;
        this.arrivalNanos = arrivalNanos;
        load.hosts().forEach(h -> sequences.put(h.host(), h.sequence()));
        others.add(load.loads());
        others.subtract(own);
    }

    /** Returns the name of the host that added the loads up. */
    String relay() {
        return load.relay();
    }

    long sequence() {
        return load.sequence();
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    /** Returns the monotonic time that the loads describe. */
    public long atNanos() {
        return arrivalNanos - load.ageMs() * NANOS_PER_MS;
    }

    /** Returns the number of hosts whose loads are included, this one among them. */
    public int hosts() {
        return sequences.size();
    }

    /** Returns whether the load of a host is included. */
    boolean includes(int host) {
        return sequences.containsKey(host);
    }

    /** Returns the low bits of the number of the load that is included for a host. */
    OptionalInt sequenceOf(int host) {
        Integer sequence = sequences.get(host);
        return sequence == null ? OptionalInt.empty() : OptionalInt.of(sequence);
    }

    /** Returns the load of all other hosts on an endpoint. */
    Optional<EndpointSum> others(int endpoint) {
        return others.get(endpoint);
    }
}
