package org.dragonflygw.edge.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.core.storenews.EndpointChange;
import org.dragonflygw.core.storenews.EndpointChangeLog;
import org.dragonflygw.platform.adapter.EndpointDecoder;

/** Applies the endpoint table of the store to the endpoint registry and records changes to be reported to peers. */
public final class EndpointFeed implements TableListener {
    private final EndpointDecoder decoder;
    private final EndpointRegistry registry;
    private final EndpointChangeLog changes;
    private boolean restored;

    public EndpointFeed(EndpointDecoder decoder, EndpointRegistry registry, EndpointChangeLog changes) {
        this.decoder = decoder;
        this.registry = registry;
        this.changes = changes;
    }

    @Override
    public void onNewEra() {
        restored = true;
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        for (VersionedRow r : rows) {
            decoder.decode(r.key(), r.data()).ifPresent(entries::add);
        }
        long now = System.nanoTime();
        registry.onStoreRead(sentNanos, now);
        if (restored) {
            registry.onRestoredListing(entries, now);
        } else {
            registry.onListing(entries, now);
        }
        restored = false;
        changes.restart(version);
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        long now = System.nanoTime();
        registry.onStoreRead(sentNanos, now);
        for (VersionedRow r : rows) {
            Optional<DiscoveredEndpoint> entry = r.deleted() ? Optional.empty() : decoder.decode(r.key(), r.data());
            boolean changed = entry.isPresent() ? registry.onUpdated(entry.get()) : registry.onRemoved(r.key(), now);
            if (changed) {
                changes.add(new EndpointChange(r.key(), entry, r.version()), now);
            }
        }
    }

    @Override
    public void onReadFailure() {
        registry.onReadFailure(System.nanoTime());
    }
}
