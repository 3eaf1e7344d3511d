package org.dragonflygw.core.discovery;

/** Told of changes in the registry. */
public interface EndpointListener {
    /** An entry is new or changed. */
    void onUpdated(DiscoveredEndpoint endpoint);

    /** An endpoint is gone; its address may soon belong to another. */
    void onRemoved(DiscoveredEndpoint endpoint);
}
