package org.dragonflygw.core.settings;

/**
 * Name, place and addresses of a host, which a process takes at its start.
 *
 * @param hostName name of the host
 * @param ip its address
 * @param zone its availability zone
 * @param callers address for callers
 * @param readiness address of the readiness check
 * @param firstInternalPort first port for messages between hosts
 */
public record HostIdentity(
        String hostName, String ip, String zone, HostAddress callers, HostAddress readiness, int firstInternalPort) {
    /** Address for messages between hosts. */
    public HostAddress internal() {
        return new HostAddress(ip, firstInternalPort);
    }
}
