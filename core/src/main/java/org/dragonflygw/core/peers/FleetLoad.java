package org.dragonflygw.core.peers;

import java.util.List;

/**
 * The sums of the loads of many hosts on endpoints.
 *
 * @param relay name of the host that added them up
 * @param sequence number that increases with each sum of the relay, also over restarts
 * @param ageMs mean age of the loads when the sum was sent, in milliseconds
 * @param hosts the hosts whose loads are included, sorted by hash
 * @param loads loads on endpoints, sorted by endpoint; others have none
 * @param prefixes prompt prefixes that these hosts sent to endpoints recently
 */
public record FleetLoad(
        String relay,
        long sequence,
        long ageMs,
        List<IncludedHost> hosts,
        List<EndpointSum> loads,
        List<SharedPrefix> prefixes) {
    public FleetLoad {
        hosts = List.copyOf(hosts);
        loads = List.copyOf(loads);
        prefixes = List.copyOf(prefixes);
    }
}
