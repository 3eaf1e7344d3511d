package org.dragonflygw.core.storenews;

import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Change of one endpoint in the store's list of endpoints that affects routing.
 *
 * @param id id of the endpoint
 * @param entry new entry of the endpoint; empty if the endpoint was removed
 * @param version store version of the change
 */
public record EndpointChange(String id, Optional<DiscoveredEndpoint> entry, long version) {}
