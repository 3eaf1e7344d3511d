package org.dragonflygw.core.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * The endpoints that this host may use, as registered in the store. Entries expire in the store during an outage even
 * though their endpoints are alive. An entry that is missing after an outage is therefore kept for a grace period
 * before it is removed. Not thread-safe.
 */
public final class EndpointRegistry {
    /**
     * Time after the end of a store outage for which expired entries are kept, in nanoseconds. Live endpoints register
     * again in about 2 s.
     */
    private static final long OUTAGE_GRACE_NANOS = 2_200_000_000L;

    private final Map<String, DiscoveredEndpoint> entries = new HashMap<>();
    private final Map<String, Long> lapsedUntilNanos = new HashMap<>();
    private final EndpointListener listener;
    private final EventLog log;

    private boolean loaded;
    private boolean storeOutage;
    private long outageEndNanos = Long.MIN_VALUE;

    /** Creates an empty registry. */
    public EndpointRegistry(EndpointListener listener, EventLog log) {
        this.listener = listener;
        this.log = log;
    }

    /** Returns whether a full listing was read at least once. */
    public boolean loaded() {
        return loaded;
    }

    /** Records that the store is unavailable. */
    public void onStoreOutage() {
        storeOutage = true;
    }

    /**
     * Applies a full listing of the store. Entries that are missing from the listing are removed, or kept for the grace
     * period after a store outage.
     */
    public void onListing(Collection<DiscoveredEndpoint> listing, long nowNanos) {
        onStoreReached(nowNanos);
        loaded = true;
        List<String> missing = new ArrayList<>(entries.keySet());
        for (DiscoveredEndpoint e : listing) {
            missing.remove(e.id());
            onUpdated(e);
        }
        missing.forEach(id -> onRemoved(id, nowNanos));
    }

    /** Records a successful read of the store and removes the entries whose grace period has ended. */
    public void onStoreReached(long nowNanos) {
        if (storeOutage) {
            storeOutage = false;
            outageEndNanos = nowNanos;
        }
        removeLapsed(nowNanos);
    }

    /** Applies a new or changed entry; returns whether the change affects routing. */
    public boolean onUpdated(DiscoveredEndpoint e) {
        lapsedUntilNanos.remove(e.id());
        DiscoveredEndpoint before = entries.put(e.id(), e);
        if (before != null && !before.sameIncarnation(e)) {
            listener.onRemoved(before);
        }
        boolean changed = before == null || before.draining() != e.draining() || !before.sameIncarnation(e);
        if (changed) {
            log.line(LogTopic.ENDPOINT)
                    .with("endpoint", e.id())
                    .with("service", e.service())
                    .with("zone", e.zone())
                    .with("outcome", e.draining() ? "draining" : "ready")
                    .end();
        }
        listener.onUpdated(e);
        return changed;
    }

    /**
     * Removes an entry that was removed from the store, or keeps the entry for the grace period after a store outage.
     *
     * @return whether the entry was known
     */
    public boolean onRemoved(String id, long nowNanos) {
        if (!entries.containsKey(id)) {
            return false;
        }
        boolean inGracePeriod = outageEndNanos != Long.MIN_VALUE && nowNanos - outageEndNanos < OUTAGE_GRACE_NANOS;
        if (inGracePeriod && !entries.get(id).draining()) {
            lapsedUntilNanos.putIfAbsent(id, outageEndNanos + OUTAGE_GRACE_NANOS);
            return true;
        }
        remove(id, "removed");
        return true;
    }

    private void removeLapsed(long nowNanos) {
        for (Map.Entry<String, Long> e : List.copyOf(lapsedUntilNanos.entrySet())) {
            if (nowNanos >= e.getValue()) {
                lapsedUntilNanos.remove(e.getKey());
                remove(e.getKey(), "lapsed");
            }
        }
    }

    private void remove(String id, String outcome) {
        DiscoveredEndpoint e = entries.remove(id);
        if (e == null) {
            return;
        }
        log.line(LogTopic.ENDPOINT)
                .with("endpoint", id)
                .with("service", e.service())
                .with("outcome", outcome)
                .end();
        listener.onRemoved(e);
    }

    /** Returns all entries, including those of draining endpoints. */
    public Collection<DiscoveredEndpoint> all() {
        return List.copyOf(entries.values());
    }
}
