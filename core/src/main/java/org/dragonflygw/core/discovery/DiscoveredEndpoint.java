package org.dragonflygw.core.discovery;

/**
 * The registry entry of an endpoint, as the endpoint registered itself in the store.
 *
 * @param id id of the endpoint; usually changes when the endpoint restarts
 * @param service name of the service
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots number of requests that the endpoint runs concurrently
 * @param draining whether the endpoint is draining and accepts no new requests
 * @param warmupLeftMs remaining warm-up time during which the endpoint is slow, in milliseconds
 * @param startedMs Unix time of the endpoint's start in milliseconds, or 0 if unknown
 * @param version version of the endpoint's software; what two versions write does not fit into one stream
 */
public record DiscoveredEndpoint(
        String id,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining,
        long warmupLeftMs,
        long startedMs,
        String version) {
    /** Returns a key that differs between two starts of an endpoint under the same id, as far as the start is known. */
    public String instanceKey() {
        return id + '#' + startedMs;
    }

    /**
     * Returns whether both entries have the same id and describe the same process, whose software and address do not
     * change.
     */
    public boolean sameIncarnation(DiscoveredEndpoint other) {
        return id.equals(other.id)
                && startedMs == other.startedMs
                && host.equals(other.host)
                && port == other.port
                && version.equals(other.version);
    }

    /** Returns whether this endpoint started later than another one of its service, at the same address. */
    public boolean tookAddressOf(DiscoveredEndpoint other) {
        return other.startedMs > 0
                && startedMs > other.startedMs
                && host.equals(other.host)
                && port == other.port
                && service.equals(other.service);
    }
}
