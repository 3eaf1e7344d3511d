package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * One attempt to send a request to an endpoint.
 *
 * @param endpoint where to
 * @param remainingMs time that the endpoint has, in milliseconds
 * @param priority rank for the engine's queue, 0 is the most urgent
 * @param resumeAfter id of the last event that the caller has, if a stream goes on
 * @param cacheSource engine from which the endpoint fetches the cached start of the prompt, if any
 * @param freshConnection whether a connection that was idle for long must not be used, since its failure would leave it
 *     open whether the request ran
 */
public record Dispatch(
        DiscoveredEndpoint endpoint,
        long remainingMs,
        int priority,
        Optional<String> resumeAfter,
        Optional<DiscoveredEndpoint> cacheSource,
        boolean freshConnection) {}
