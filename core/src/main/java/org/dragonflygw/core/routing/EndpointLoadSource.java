package org.dragonflygw.core.routing;

import java.util.List;

/** Provides the loads of the endpoints whose steward is this daemon, for gossip to the other daemons. */
public interface EndpointLoadSource {
    /** Current loads of the endpoints whose steward is this daemon. */
    List<EndpointLoad> ownLoads();
}
