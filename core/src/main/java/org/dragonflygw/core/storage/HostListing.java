package org.dragonflygw.core.storage;

import java.util.List;
import org.dragonflygw.core.fleet.HostEntry;

/**
 * One reading of the host list.
 *
 * @param generation grows with each change of the list; an older answer has a lower one
 * @param hosts all hosts
 */
public record HostListing(long generation, List<HostEntry> hosts) {
    public HostListing {
        hosts = List.copyOf(hosts);
    }
}
