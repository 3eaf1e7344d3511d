package org.dragonflygw.core.routing;

import org.dragonflygw.core.fleet.Endpoint;

/** A slot on an endpoint. It is held from before the dispatch of a request until the request ends. */
public interface EndpointGrant {
    /** Endpoint that the slot belongs to. */
    Endpoint endpoint();

    /**
     * Whether the slot may be used for a dispatch now. False when the grant is so old that the endpoint may have left
     * since; the holder then ends the grant and acquires another one.
     */
    boolean mayDispatch();

    /** Releases the slot. Later calls have no effect. */
    void end(AttemptOutcome outcome);
}
