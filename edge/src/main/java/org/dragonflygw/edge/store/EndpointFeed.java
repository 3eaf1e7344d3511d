package org.dragonflygw.edge.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.EndpointDecoder;

/** Keeps the registry of endpoints up to date from the store. */
public final class EndpointFeed implements TableListener {
    private final EndpointDecoder decoder;
    private final EndpointRegistry registry;

    /** Makes a feed. */
    public EndpointFeed(EndpointDecoder decoder, EndpointRegistry registry) {
        this.decoder = decoder;
        this.registry = registry;
    }

    @Override
    public void onListing(List<VersionedRow> rows, long sentNanos) {
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        for (VersionedRow r : rows) {
            decoder.decode(r.key(), r.data()).ifPresent(entries::add);
        }
        registry.onListing(entries, System.nanoTime());
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        long now = System.nanoTime();
        registry.onReached(now);
        for (VersionedRow r : rows) {
            Optional<DiscoveredEndpoint> entry = r.deleted() ? Optional.empty() : decoder.decode(r.key(), r.data());
            if (entry.isPresent()) {
                registry.onEntry(entry.get());
            } else {
                registry.onRemoved(r.key(), now);
            }
        }
    }

    @Override
    public void onFailure() {
        registry.onOutage();
    }
}
