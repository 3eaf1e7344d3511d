package org.dragonflygw.core.discovery;

/** Receives changes of the {@link EndpointRegistry}. */
public interface EndpointListener {
    /** Called when an entry is added, changed or read again. */
    void onUpdated(DiscoveredEndpoint endpoint);

    /** Called when an endpoint is removed. Another endpoint may reuse the address soon. */
    void onRemoved(DiscoveredEndpoint endpoint);
}
