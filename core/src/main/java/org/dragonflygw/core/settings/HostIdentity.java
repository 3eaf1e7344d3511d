package org.dragonflygw.core.settings;

/**
 * Name, location and addresses of a host. A process reads them at its start only.
 *
 * @param hostName name of the host
 * @param ip IP address of the host
 * @param zone availability zone of the host
 * @param callers address that callers connect to
 * @param readiness address of the readiness check
 * @param firstInternalPort first of the ports for messages between hosts
 */
public record HostIdentity(
        String hostName, String ip, String zone, HostAddress callers, HostAddress readiness, int firstInternalPort) {
    /** Address that other hosts send messages to. */
    public HostAddress internal() {
        return new HostAddress(ip, firstInternalPort);
    }
}
