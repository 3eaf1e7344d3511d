package org.dragonflygw.core.fleet;

import java.util.List;

/** Gives the endpoints of a pool as this daemon sees them now. */
public interface EndpointSource {
    /** All endpoints of the pool in any state; empty for an unknown pool. The list is immutable. */
    List<Endpoint> endpoints(String pool);
}
