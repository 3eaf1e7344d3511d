package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Adds up the loads that hosts report. Keeps one report per host, so that none counts twice. Not thread-safe. */
final class LoadRelay {
    /** Time after which a host that does not report is left out, in nanoseconds; several reports must be lost. */
    private static final long HOST_EXPIRY_NANOS = 2_000_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String self;
    private final Map<String, Reported> hosts = new HashMap<>();
    private final PrefixRelay prefixes = new PrefixRelay();
    private long sequence;

    /**
     * Creates a relay.
     *
     * @param startedMs Unix time at which this process started, in milliseconds
     */
    LoadRelay(String self, long startedMs) {
        this.self = self;
        this.sequence = startedMs;
    }

    void onHostLoad(HostLoad load, long nowNanos) {
        Reported known = hosts.get(load.host());
        if (known != null && known.load.sequence() >= load.sequence()) {
            return;
        }
        hosts.put(load.host(), new Reported(load, nowNanos));
        prefixes.add(load.prefixes(), nowNanos);
    }

    /** Returns the number of hosts that reported recently. */
    int size(long nowNanos) {
        hosts.values().removeIf(r -> nowNanos - r.atNanos >= HOST_EXPIRY_NANOS);
        return hosts.size();
    }

    /** Drops prompt prefixes that another relay passes on, and hosts that do not report. */
    void standBy(long nowNanos) {
        size(nowNanos);
        prefixes.clear(nowNanos);
    }

    /** Returns the sums of the hosts that reported recently; nothing if there are none. */
    Optional<FleetLoad> next(long nowNanos) {
        if (size(nowNanos) == 0) {
            return Optional.empty();
        }
        SumOfLoads sum = new SumOfLoads();
        List<IncludedHost> included = new ArrayList<>();
        long ageNanos = 0;
        for (Reported r : hosts.values()) {
            sum.add(r.load.loads());
            included.add(new IncludedHost(ShortHash.of(r.load.host()), IncludedHost.lowBits(r.load.sequence())));
            ageNanos += nowNanos - r.atNanos;
        }
        included.sort(Comparator.comparingInt(IncludedHost::host));
        long ageMs = ageNanos / hosts.size() / NANOS_PER_MS;
        return Optional.of(new FleetLoad(self, ++sequence, ageMs, included, sum.sorted(), prefixes.take(nowNanos)));
    }

    private record Reported(HostLoad load, long atNanos) {}
}
