package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * The instances of endpoints that said that they are leaving, as this host or a peer heard it. Their entries in the store
 * may still say otherwise, or vanish and come back; only another instance under the same id ends a leave. Not
 * thread-safe.
 */
final class LeavingEndpoints {
    /** Maximum number of remembered instances; the oldest is dropped first. */
    private static final int MAX_REMEMBERED = 1_000;

    /** Maximum number of instances in one report: those of a large release. */
    private static final int MAX_REPORTED = 32;

    /** Time for which a leave is reported to peers, in nanoseconds; long enough to reach each host of a large fleet. */
    private static final long REPORT_NANOS = 30_000_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Map<String, Leave> byId = new LinkedHashMap<>();

    /** Records a leave; returns false if it was known. */
    boolean add(String id, long startedMs, long sinceNanos) {
        Leave known = byId.get(id);
        if (known != null && known.startedMs >= startedMs) {
            return false;
        }
        byId.put(id, new Leave(startedMs, sinceNanos));
        if (byId.size() > MAX_REMEMBERED) {
            byId.remove(byId.keySet().iterator().next());
        }
        return true;
    }

    /** Returns whether this instance of the endpoint is leaving. */
    boolean contains(DiscoveredEndpoint endpoint) {
        Leave leave = byId.get(endpoint.id());
        return leave != null && leave.startedMs == endpoint.startedMs();
    }

    /** Returns the newest leaves, for a report to peers. */
    List<LeavingEndpoint> recent(long nowNanos) {
        List<LeavingEndpoint> recent = new ArrayList<>();
        byId.forEach((id, leave) -> {
            long age = nowNanos - leave.sinceNanos;
            if (age <= REPORT_NANOS) {
                recent.add(new LeavingEndpoint(id, leave.startedMs, Math.max(0, age / NANOS_PER_MS)));
            }
        });
        return recent.subList(Math.max(0, recent.size() - MAX_REPORTED), recent.size());
    }

    private record Leave(long startedMs, long sinceNanos) {}
}
