package org.dragonflygw.core.storage;

import java.util.List;
import org.dragonflygw.core.fleet.HostEntry;

/**
 * The host list as of one read.
 *
 * @param generation number that increases with each change of the list, so that an outdated response can be recognized
 * @param hosts all live and leaving hosts
 */
public record HostListing(long generation, List<HostEntry> hosts) {
    public HostListing {
        hosts = List.copyOf(hosts);
    }
}
