package org.dragonflygw.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * The hosts to which this one may pass requests that it cannot send to an endpoint itself. A host that served one for a
 * service is asked first, and one that could not is left out for a while. Not thread-safe.
 */
public final class RelayPeers {
    /** Most hosts that are asked for one request. */
    private static final int MAX_TRIES = 6;

    /** Time for which a host is left out after it could not serve a service, in nanoseconds. */
    private static final long AVOID_NANOS = 1_000_000_000L;

    /** Time for which a host that served a service is asked before others, in nanoseconds. */
    private static final long PREFER_NANOS = 5_000_000_000L;

    private final Map<Key, Long> avoidedUntil = new HashMap<>();
    private final Map<Key, Long> preferredUntil = new HashMap<>();
    private final Supplier<? extends Collection<String>> hosts;
    private final Random random;
    private final MonotonicClock clock;

    private record Key(String service, String host) {}

    /**
     * Creates an empty memory.
     *
     * @param hosts names of the other hosts that were heard recently
     */
    public RelayPeers(Supplier<? extends Collection<String>> hosts, Random random, MonotonicClock clock) {
        this.hosts = hosts;
        this.random = random;
        this.clock = clock;
    }

    /** Returns whether any other host is known to be up. */
    public boolean anyHost() {
        return !hosts.get().isEmpty();
    }

    /** Returns the hosts to ask for one request to a service, in this order; none if all failed a moment ago. */
    public List<String> candidates(String service) {
        forgetOld();
        List<String> preferred = new ArrayList<>();
        List<String> others = new ArrayList<>();
        for (String host : hosts.get()) {
            Key key = new Key(service, host);
            if (preferredUntil.containsKey(key)) {
                preferred.add(host);
            } else if (!avoidedUntil.containsKey(key)) {
                others.add(host);
            }
        }
        Collections.shuffle(preferred, random);
        Collections.shuffle(others, random);
        preferred.addAll(others);
        return List.copyOf(preferred.subList(0, Math.min(MAX_TRIES, preferred.size())));
    }

    /** Records that a host served a request to a service. */
    public void onServed(String service, String host) {
        Key key = new Key(service, host);
        avoidedUntil.remove(key);
        preferredUntil.put(key, clock.nanos() + PREFER_NANOS);
    }

    /** Records that a host could not serve a request to a service. */
    public void onFailed(String service, String host) {
        Key key = new Key(service, host);
        preferredUntil.remove(key);
        avoidedUntil.put(key, clock.nanos() + AVOID_NANOS);
    }

    private void forgetOld() {
        long now = clock.nanos();
        avoidedUntil.values().removeIf(until -> now - until >= 0);
        preferredUntil.values().removeIf(until -> now - until >= 0);
    }
}
