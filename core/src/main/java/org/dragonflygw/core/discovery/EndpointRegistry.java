package org.dragonflygw.core.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * The endpoints that this host may use, as registered in the store. Entries expire in the store during an outage even
 * though their endpoints are alive. An entry that is missing after an outage is therefore kept for a grace period
 * before it is removed. Not thread-safe.
 */
public final class EndpointRegistry {
    private final Map<String, DiscoveredEndpoint> entries = new HashMap<>();
    private final Set<String> lapsed = new HashSet<>();
    private final DepartedEndpoints departed = new DepartedEndpoints();
    private final EndpointListener listener;
    private final OutageGrace grace;
    private final EventLog log;

    private boolean loaded;

    /**
     * Creates an empty registry.
     *
     * @param heartbeatNanos supplies the interval at which endpoints renew their entries, in nanoseconds
     */
    public EndpointRegistry(EndpointListener listener, LongSupplier heartbeatNanos, EventLog log) {
        this.listener = listener;
        this.grace = new OutageGrace(heartbeatNanos);
        this.log = log;
    }

    /** Returns whether a full listing was read at least once. */
    public boolean loaded() {
        return loaded;
    }

    /** Records that a read of the store by this host failed. */
    public void onReadFailure(long nowNanos) {
        grace.onReadFailure(nowNanos);
    }

    /**
     * Records that the store answered a read of this host or of another host.
     *
     * @param asOfNanos time at which the read was sent, on this host's monotonic clock
     */
    public void onStoreRead(long asOfNanos, long nowNanos) {
        grace.onStoreRead(asOfNanos, nowNanos);
        removeLapsed(nowNanos);
    }

    /**
     * Applies the first full listing after the store came back from a copy. Entries of endpoints that registered after the
     * copy was made are missing, and entries of endpoints that began to drain or left are as they were before. Both are
     * corrected by the endpoints' next heartbeats.
     */
    public void onRestoredListing(Collection<DiscoveredEndpoint> listing, long nowNanos) {
        grace.open(nowNanos);
        List<DiscoveredEndpoint> current = new ArrayList<>();
        for (DiscoveredEndpoint e : listing) {
            DiscoveredEndpoint known = entries.get(e.id());
            boolean drained = known != null && known.draining() && known.sameIncarnation(e);
            if (drained) {
                current.add(known);
            } else if (!departed.contains(e)) {
                current.add(e);
            }
        }
        onListing(current, nowNanos);
    }

    /**
     * Applies a full listing of the store. Entries that are missing from the listing are removed, or kept for the grace
     * period after a store outage.
     */
    public void onListing(Collection<DiscoveredEndpoint> listing, long nowNanos) {
        List<String> missing = new ArrayList<>(entries.keySet());
        for (DiscoveredEndpoint e : listing) {
            missing.remove(e.id());
            onUpdated(e);
        }
        missing.forEach(id -> onRemoved(id, nowNanos));
        loaded = true;
    }

    /** Applies a new or changed entry; returns whether the change affects routing. */
    public boolean onUpdated(DiscoveredEndpoint e) {
        lapsed.remove(e.id());
        DiscoveredEndpoint before = entries.put(e.id(), e);
        if (before == null || !before.sameIncarnation(e)) {
            tellFormerAt(e, before);
        }
        if (before != null && !before.sameIncarnation(e)) {
            listener.onRemoved(before);
        }
        boolean changed = before == null
                || before.draining() != e.draining()
                || !before.sameIncarnation(e)
                || isColdAgain(before, e);
        if (changed) {
            logChange(e, e.draining() ? "draining" : "ready");
        }
        listener.onUpdated(e);
        return changed;
    }

    /** Tells of endpoints that were at the address of a new one, under its id or another one. */
    private void tellFormerAt(DiscoveredEndpoint e, DiscoveredEndpoint before) {
        if (before != null && e.tookAddressOf(before)) {
            listener.onAddressTaken(before);
        }
        entries.values().stream().filter(e::tookAddressOf).toList().forEach(former -> {
            logChange(former, "address taken by " + e.id());
            listener.onAddressTaken(former);
        });
    }

    /** Returns whether the warm-up of an endpoint began again, or has not gone on. */
    private static boolean isColdAgain(DiscoveredEndpoint before, DiscoveredEndpoint e) {
        return e.warmupLeftMs() > 0 && e.warmupLeftMs() >= before.warmupLeftMs();
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
        if (grace.isOpen(nowNanos) && !entries.get(id).draining()) {
            if (lapsed.add(id)) {
                logChange(entries.get(id), "kept after store outage");
            }
            return true;
        }
        remove(id, "removed");
        return true;
    }

    /**
     * Removes the entries whose grace period has ended. Must be called regularly, because this host may not read the
     * store for as long as it receives the news of other hosts.
     */
    public void removeLapsed(long nowNanos) {
        if (lapsed.isEmpty() || grace.isOpen(nowNanos)) {
            return;
        }
        for (String id : List.copyOf(lapsed)) {
            remove(id, "lapsed");
        }
    }

    private void remove(String id, String outcome) {
        lapsed.remove(id);
        DiscoveredEndpoint e = entries.remove(id);
        if (e == null) {
            return;
        }
        logChange(e, outcome);
        departed.add(e);
        listener.onRemoved(e);
    }

    private void logChange(DiscoveredEndpoint e, String outcome) {
        log.line(LogTopic.ENDPOINT)
                .with("endpoint", e.id())
                .with("service", e.service())
                .with("zone", e.zone())
                .with("outcome", outcome)
                .end();
    }

    /** Returns all entries, including those of draining endpoints. */
    public Collection<DiscoveredEndpoint> all() {
        return List.copyOf(entries.values());
    }
}
