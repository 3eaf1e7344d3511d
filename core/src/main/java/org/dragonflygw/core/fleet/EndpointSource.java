package org.dragonflygw.core.fleet;

import java.util.List;

/** Provides the endpoints of a pool as currently known to this daemon. */
public interface EndpointSource {
    /** Returns an immutable list of all endpoints of the pool in any state; empty for an unknown pool. */
    List<Endpoint> endpoints(String pool);
}
