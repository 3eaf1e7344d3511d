package org.dragonflygw.core.discovery;

/**
 * An endpoint as it registered itself.
 *
 * @param id identity of this endpoint; a restart mostly brings a new one
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param draining whether it leaves and takes no new work
 * @param warmupLeftMs how much longer it is slow after its start, in milliseconds
 * @param startedMs Unix time of its start in milliseconds, 0 if unknown
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
        long startedMs) {
    /** Whether this is the same process as another entry of the same id. */
    public boolean sameIncarnation(DiscoveredEndpoint other) {
        return id.equals(other.id) && startedMs == other.startedMs && host.equals(other.host) && port == other.port;
    }
}
