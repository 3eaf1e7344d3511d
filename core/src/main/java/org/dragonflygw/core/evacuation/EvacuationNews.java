package org.dragonflygw.core.evacuation;

import java.util.List;

/**
 * The evacuated availability zones as one host knows them, sent to the other hosts.
 *
 * @param version store version up to which the zones are complete; negative if they are unknown
 * @param zones names of all evacuated zones
 */
public record EvacuationNews(long version, List<String> zones) {
    /** Maximum number of zones that are sent; their names fit in a datagram beside the rest of a report. */
    public static final int MAX_ZONES = 32;

    /** News of a host that does not know which zones are evacuated. */
    public static final EvacuationNews UNKNOWN = new EvacuationNews(-1, List.of());

    public EvacuationNews {
        zones = List.copyOf(zones);
    }

    /** Returns whether the host knows which zones are evacuated. */
    public boolean isKnown() {
        return version >= 0;
    }
}
