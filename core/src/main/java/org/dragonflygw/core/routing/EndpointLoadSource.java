package org.dragonflygw.core.routing;

import java.util.List;

/** Gives the loads of the endpoints that this daemon is steward of, to be spread to the others. */
public interface EndpointLoadSource {
    /** Current loads of own endpoints. */
    List<EndpointLoad> ownLoads();
}
