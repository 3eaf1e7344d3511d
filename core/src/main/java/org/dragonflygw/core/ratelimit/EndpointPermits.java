package org.dragonflygw.core.ratelimit;

import java.util.function.Consumer;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/** Gives permits to send single requests to endpoints that name a limit for all hosts together. */
@FunctionalInterface
public interface EndpointPermits {
    /**
     * Asks for a permit.
     *
     * @param listener receives the decision, before this method returns or a moment later; a permit must be used at once
     */
    void acquire(DiscoveredEndpoint endpoint, Consumer<PermitDecision> listener);
}
