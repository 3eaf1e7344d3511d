package org.dragonflygw.core.exchange;

import java.util.function.Consumer;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/** Finds out whether an endpoint whose connection was lost has ended, before its entry in the store says so. */
@FunctionalInterface
public interface EndpointProbe {
    /** What a probe found out. */
    enum Result {
        /** The endpoint refuses connections. */
        ENDED,
        /** The endpoint accepts connections. */
        ALIVE,
        /** Neither was found out in time. */
        UNKNOWN
    }

    /** A probe that finds out nothing. */
    EndpointProbe NONE = (endpoint, listener) -> {};

    /**
     * Opens a connection to the endpoint and closes it.
     *
     * @param listener receives the result; it may be left out if a probe of the endpoint is under way for another listener
     */
    void probe(DiscoveredEndpoint endpoint, Consumer<Result> listener);
}
