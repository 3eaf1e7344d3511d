package org.dragonflygw.core.peers;

import java.util.List;

/**
 * The load of one host on endpoints, sent to the hosts that add loads up.
 *
 * @param host name of the host
 * @param sequence number that increases with each load that the host sends, also over restarts
 * @param loads loads on endpoints, sorted by endpoint
 * @param prefixes prompt prefixes that the host sent to endpoints recently
 */
public record HostLoad(String host, long sequence, List<EndpointSum> loads, List<SharedPrefix> prefixes) {
    public HostLoad {
        loads = List.copyOf(loads);
        prefixes = List.copyOf(prefixes);
    }
}
