package org.dragonflygw.standins.platform;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.standins.time.LaggedValue;

/** The host list. Readers see it with a configurable lag. Thread-safe. */
final class HostRegistry {
    private final TreeMap<String, HostEntry> hosts = new TreeMap<>();
    private final LaggedValue<HostListing> listing;
    private long generation;
    private HostListing frozen;

    HostRegistry(InstantSource clock, Duration lag) {
        listing = new LaggedValue<>(clock, lag, new HostListing(0, List.of()));
    }

    /** Adds a host, or replaces the host with the same id. */
    synchronized void register(HostEntry host) {
        hosts.put(host.id(), host);
        publish();
    }

    /** Removes a host; returns false when the id is unknown. */
    synchronized boolean remove(String id) {
        boolean known = hosts.remove(id) != null;
        if (known) {
            publish();
        }
        return known;
    }

    /** Changes the state of a host; returns false when the id is unknown. */
    synchronized boolean setState(String id, HostState state) {
        HostEntry host = hosts.get(id);
        if (host == null) {
            return false;
        }
        hosts.put(
                id,
                new HostEntry(
                        id,
                        host.role(),
                        host.address(),
                        host.port(),
                        host.availabilityZone(),
                        host.region(),
                        host.pool(),
                        state));
        publish();
        return true;
    }

    void setLag(Duration lag) {
        listing.setLag(lag);
    }

    /** Returns the list as readers see it now, including the lag. */
    synchronized HostListing read() {
        return frozen == null ? listing.read() : frozen;
    }

    /** Keeps the list that readers see now until {@link #unfreeze} is called. */
    synchronized void freeze() {
        if (frozen == null) {
            frozen = listing.read();
        }
    }

    synchronized void unfreeze() {
        frozen = null;
    }

    private void publish() {
        generation++;
        listing.set(new HostListing(generation, new ArrayList<>(hosts.values())));
    }
}
