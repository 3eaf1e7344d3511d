package org.dragonflygw.core.discovery;

/** Receives changes of the {@link EndpointRegistry}. */
public interface EndpointListener {
    /** Called when an entry is added, changed or read again. */
    void onUpdated(DiscoveredEndpoint endpoint);

    /** Called when an endpoint is removed. Another endpoint may reuse the address soon. */
    void onRemoved(DiscoveredEndpoint endpoint);

    /**
     * Called when a later endpoint has registered at the address of one whose entry is still there: the former has ended.
     * Nothing else is done; its entry will expire.
     */
    default void onAddressTaken(DiscoveredEndpoint former) {}
}
