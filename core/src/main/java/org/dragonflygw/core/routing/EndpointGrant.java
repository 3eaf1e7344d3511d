package org.dragonflygw.core.routing;

import org.dragonflygw.core.fleet.Endpoint;

/** A slot on an endpoint, held from before the dispatch of a request until its end. */
public interface EndpointGrant {
    /** The endpoint that holds the slot. */
    Endpoint endpoint();

    /**
     * Whether the slot may be used for a dispatch now. False when it was given so long ago that the endpoint may have
     * left since; the holder then ends it and takes another one.
     */
    boolean mayDispatch();

    /** Gives the slot back. Only the first call counts. */
    void end(AttemptOutcome outcome);
}
