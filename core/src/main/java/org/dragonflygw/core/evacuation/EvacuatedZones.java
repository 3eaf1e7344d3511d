package org.dragonflygw.core.evacuation;

import java.util.Set;

/** The availability zones that are evacuated. Endpoints in them get no new requests. Not thread-safe. */
public final class EvacuatedZones {
    private Set<String> zones = Set.of();

    /** Returns whether a zone is evacuated. */
    public boolean contains(String zone) {
        return !zones.isEmpty() && zones.contains(zone);
    }

    /** Returns the number of evacuated zones. */
    public int count() {
        return zones.size();
    }

    Set<String> all() {
        return zones;
    }

    void replace(Set<String> current) {
        zones = Set.copyOf(current);
    }
}
