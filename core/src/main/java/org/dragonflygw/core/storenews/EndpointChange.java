package org.dragonflygw.core.storenews;

import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * One change of the list of endpoints that matters for routing.
 *
 * @param id id of the endpoint
 * @param entry its entry, empty if it was removed
 * @param version version of the store at which it was seen
 */
public record EndpointChange(String id, Optional<DiscoveredEndpoint> entry, long version) {}
