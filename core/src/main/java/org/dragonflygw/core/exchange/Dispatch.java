package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Endpoint and parameters of one attempt to send a request.
 *
 * @param endpoint endpoint that gets the request
 * @param remainingMs time that is left for the endpoint to respond, in milliseconds
 * @param priority priority in the engine's queue; 0 is the most urgent
 * @param resumeAfter id of the last event that was forwarded to the caller, if the attempt resumes a stream
 * @param cacheSource engine from which the endpoint can fetch the cached prefix of the prompt, if any
 * @param freshConnection whether a connection that was idle for long must not be reused, since after its failure it
 *     would be unknown whether the request ran
 */
public record Dispatch(
        DiscoveredEndpoint endpoint,
        long remainingMs,
        int priority,
        Optional<String> resumeAfter,
        Optional<DiscoveredEndpoint> cacheSource,
        boolean freshConnection) {}
