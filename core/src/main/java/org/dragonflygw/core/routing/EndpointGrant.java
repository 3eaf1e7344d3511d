package org.dragonflygw.core.routing;

import org.dragonflygw.core.fleet.Endpoint;

/** A slot on an endpoint, held from before the dispatch of a request until its end. */
public interface EndpointGrant {
    /** The endpoint that holds the slot. */
    Endpoint endpoint();

    /** Gives the slot back. Only the first call counts. */
    void end(AttemptOutcome outcome);
}
