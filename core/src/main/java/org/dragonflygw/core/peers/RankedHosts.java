package org.dragonflygw.core.peers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The hosts among which owners of limits are chosen. The store lists hosts that ended long ago, so a listed host counts
 * only while its first report may be under way. A host that was heard counts for some minutes after its last report,
 * which is longer than network faults last: nobody takes its place while it may still give out its share. Not thread-safe.
 */
final class RankedHosts {
    /** Time after its last report for which a host counts, in nanoseconds. */
    private static final long RETENTION_NANOS = 300_000_000_000L;

    /** Time after which a host that is neither listed nor heard is forgotten, in nanoseconds. */
    private static final long FORGET_NANOS = 7_200_000_000_000L;

    private final Map<String, Sighting> sightings = new HashMap<>();

    /** Records that the store lists a host. */
    void onListed(String host, long nowNanos) {
        sightings.computeIfAbsent(host, h -> new Sighting(nowNanos)).lastSeenNanos = nowNanos;
    }

    /** Records a report of a host. */
    void onHeard(String host, long nowNanos) {
        Sighting s = sightings.computeIfAbsent(host, h -> new Sighting(nowNanos));
        s.heard = true;
        s.heardNanos = nowNanos;
        s.lastSeenNanos = nowNanos;
    }

    /**
     * Returns the hosts that count. If none was heard recently, this host may be the one that is cut off, and listed
     * hosts count as long as heard ones.
     *
     * @param firstReportNanos time after it was first listed for which a host counts before its first report
     */
    Set<String> names(long nowNanos, long firstReportNanos) {
        sightings.values().removeIf(s -> nowNanos - s.lastSeenNanos > FORGET_NANOS);
        boolean anyHeard = sightings.values().stream().anyMatch(s -> s.wasHeardRecently(nowNanos));
        long unheardNanos = anyHeard ? firstReportNanos : RETENTION_NANOS;
        Set<String> names = new HashSet<>();
        sightings.forEach((host, s) -> {
            boolean isNew = !s.heard && nowNanos - s.firstListedNanos < unheardNanos;
            if (isNew || s.wasHeardRecently(nowNanos)) {
                names.add(host);
            }
        });
        return names;
    }

    private static final class Sighting {
        private final long firstListedNanos;
        private long lastSeenNanos;
        private boolean heard;
        private long heardNanos;

        Sighting(long nowNanos) {
            firstListedNanos = nowNanos;
        }

        boolean wasHeardRecently(long nowNanos) {
            return heard && nowNanos - heardNanos < RETENTION_NANOS;
        }
    }
}
