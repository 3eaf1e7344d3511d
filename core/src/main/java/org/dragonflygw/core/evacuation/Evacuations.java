package org.dragonflygw.core.evacuation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * Follows which availability zones the operator evacuates, by reads of the store and by news of other hosts, which may
 * overtake each other. The state is replaced as a whole by one of a later store version; earlier versions change nothing.
 * Not thread-safe.
 */
public final class Evacuations {
    /**
     * Time for which an evacuation holds that is missing after the store came back from a copy, in nanoseconds. The operator
     * did not end it, and writes what was lost again within some seconds.
     */
    private static final long HOLD_NANOS = 10_000_000_000L;

    private static final long UNKNOWN_VERSION = -1;
    private static final String STORE = "store";
    private static final String OTHER_HOST = "another host";

    private final EvacuatedZones zones;
    private final ToIntFunction<String> endpointsIn;
    private final EventLog log;
    private final MonotonicClock clock;

    /** Zones whose row exists. */
    private final Set<String> rows = new TreeSet<>();

    /** Zones whose row was lost with the last changes of the store, with the time until which they stay evacuated. */
    private final Map<String, Long> held = new HashMap<>();

    private long version = UNKNOWN_VERSION;
    private boolean restored;

    /**
     * Creates a state without evacuations.
     *
     * @param zones zones to keep up to date
     * @param endpointsIn returns the number of known endpoints in a zone, for the log
     */
    public Evacuations(EvacuatedZones zones, ToIntFunction<String> endpointsIn, EventLog log, MonotonicClock clock) {
        this.zones = zones;
        this.endpointsIn = endpointsIn;
        this.log = log;
        this.clock = clock;
    }

    /** Returns the store version up to which the state is complete; negative if it is unknown. */
    public long version() {
        return version;
    }

    /** Returns the state, to be reported to peers. */
    public EvacuationNews news() {
        return rows.size() > EvacuationNews.MAX_ZONES
                ? EvacuationNews.UNKNOWN
                : new EvacuationNews(version, List.copyOf(rows));
    }

    /** Records that the store came back from a copy. The state holds until one of the new era is known. */
    public void onNewEra() {
        version = UNKNOWN_VERSION;
        restored = true;
    }

    /**
     * Applies a full listing of the store.
     *
     * @param listed zones whose row exists
     * @param listingVersion store version up to which the listing is complete
     */
    public void onListing(Collection<String> listed, long listingVersion) {
        replace(listed, listingVersion, STORE);
    }

    /** Applies the state of another host. */
    public void onNews(EvacuationNews news) {
        if (news.isKnown()) {
            replace(news.zones(), news.version(), OTHER_HOST);
        }
    }

    /**
     * Applies the changes of a read.
     *
     * @param changes changes of rows since an earlier read
     * @param newestVersion store version up to which the changes are complete
     */
    public void onChanges(List<EvacuationChange> changes, long newestVersion) {
        if (version == UNKNOWN_VERSION || newestVersion <= version) {
            return;
        }
        List<EvacuationChange> newer = changes.stream()
                .filter(c -> c.version() > version)
                .sorted(Comparator.comparingLong(EvacuationChange::version))
                .toList();
        for (EvacuationChange c : newer) {
            held.remove(c.zone());
            if (c.evacuated()) {
                rows.add(c.zone());
            } else {
                rows.remove(c.zone());
            }
        }
        version = newestVersion;
        putInForce(STORE);
    }

    /** Ends the evacuations whose time to hold is over. Must be called regularly. */
    public void releaseHeld() {
        if (!held.isEmpty()) {
            long now = clock.nanos();
            held.values().removeIf(until -> until - now <= 0);
            putInForce(STORE);
        }
    }

    private void replace(Collection<String> current, long currentVersion, String source) {
        if (currentVersion <= version) {
            return;
        }
        version = currentVersion;
        rows.clear();
        rows.addAll(current);
        if (restored) {
            restored = false;
            holdLost();
        }
        held.keySet().removeAll(rows);
        putInForce(source);
    }

    private void holdLost() {
        long until = clock.nanos() + HOLD_NANOS;
        for (String zone : zones.all()) {
            if (!rows.contains(zone)) {
                held.put(zone, until);
                log(zone, "kept after the store came back from a copy", STORE);
            }
        }
    }

    private void putInForce(String source) {
        Set<String> before = zones.all();
        Set<String> current = new HashSet<>(rows);
        current.addAll(held.keySet());
        if (current.equals(before)) {
            return;
        }
        current.stream().filter(z -> !before.contains(z)).forEach(z -> log(z, "seen", source));
        zones.replace(current);
        current.stream().filter(z -> !before.contains(z)).forEach(z -> log(z, "applied", source));
        before.stream().filter(z -> !current.contains(z)).forEach(z -> log(z, "ended", source));
    }

    private void log(String zone, String outcome, String source) {
        log.line(LogTopic.EVACUATION)
                .with("zone", zone)
                .with("outcome", outcome)
                .with("source", source)
                .with("storeVersion", version)
                .with("endpoints", endpointsIn.applyAsInt(zone))
                .end();
    }
}
