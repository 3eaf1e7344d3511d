package org.dragonflygw.core.discovery;

/** Told of changes in the registry. */
public interface EndpointListener {
    /** An entry is new or changed. */
    void onEntry(DiscoveredEndpoint endpoint);

    /** An endpoint is gone; its address may soon belong to another. */
    void onGone(DiscoveredEndpoint endpoint);
}
