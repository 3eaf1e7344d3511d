package org.dragonflygw.edge.front;

import java.util.Optional;
import java.util.function.Function;
import org.dragonflygw.core.paths.EndpointPaths;
import org.dragonflygw.core.relay.RelayPeers;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.edge.upstream.RelayClient;

/**
 * Objects for passing requests to other hosts, shared by all connections of a port.
 *
 * @param paths which services this host reaches
 * @param peers hosts that may be asked
 * @param addresses address at which a host takes relayed requests, by its name
 * @param client sends requests to other hosts
 * @param incoming whether the requests of this port come from other hosts; they are never passed on again
 */
public record RelayContext(
        EndpointPaths paths,
        RelayPeers peers,
        Function<String, Optional<HostAddress>> addresses,
        RelayClient client,
        boolean incoming) {
    /** Returns the same objects for the port that takes requests of other hosts. */
    public RelayContext forIncoming() {
        return new RelayContext(paths, peers, addresses, client, true);
    }
}
