package org.dragonflygw.core.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * The endpoints that this host may use. An entry that is removed while the store was out of reach is kept for a short
 * time after its return, since entries lapse during an outage although their endpoints live. Used by one thread.
 */
public final class EndpointRegistry {
    /** How long after the store's return lapsed entries are kept, in nanoseconds: they come back in about 2 s. */
    private static final long LAPSE_GRACE_NANOS = 2_200_000_000L;

    private final Map<String, DiscoveredEndpoint> entries = new HashMap<>();
    private final Map<String, Long> lapsed = new HashMap<>();
    private final EndpointListener listener;
    private final EventLog log;

    private boolean loaded;
    private boolean outage;
    private long regainedNanos = Long.MIN_VALUE;

    /** Makes an empty registry. */
    public EndpointRegistry(EndpointListener listener, EventLog log) {
        this.listener = listener;
        this.log = log;
    }

    /** Whether the list was read at least once. */
    public boolean loaded() {
        return loaded;
    }

    /** Notes that the store cannot be read. */
    public void onStoreOutage() {
        outage = true;
    }

    /** Notes a whole listing. Entries not in it are gone, or lapsed if the store was out. */
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

    /** Notes a successful read. */
    public void onStoreReached(long nowNanos) {
        if (outage) {
            outage = false;
            regainedNanos = nowNanos;
        }
        expireLapsed(nowNanos);
    }

    /** Notes a new or changed entry; returns whether it matters for routing. */
    public boolean onUpdated(DiscoveredEndpoint e) {
        lapsed.remove(e.id());
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

    /** Notes that an entry was removed from the store; returns whether it was known. */
    public boolean onRemoved(String id, long nowNanos) {
        if (!entries.containsKey(id)) {
            return false;
        }
        boolean kept = regainedNanos != Long.MIN_VALUE && nowNanos - regainedNanos < LAPSE_GRACE_NANOS;
        if (kept && !entries.get(id).draining()) {
            lapsed.putIfAbsent(id, regainedNanos + LAPSE_GRACE_NANOS);
            return true;
        }
        drop(id, "removed");
        return true;
    }

    private void expireLapsed(long nowNanos) {
        for (Map.Entry<String, Long> e : List.copyOf(lapsed.entrySet())) {
            if (nowNanos >= e.getValue()) {
                lapsed.remove(e.getKey());
                drop(e.getKey(), "lapsed");
            }
        }
    }

    private void drop(String id, String outcome) {
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

    /** All entries, leaving ones included. */
    public Collection<DiscoveredEndpoint> all() {
        return List.copyOf(entries.values());
    }
}
