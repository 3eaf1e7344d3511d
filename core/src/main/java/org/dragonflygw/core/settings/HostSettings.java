package org.dragonflygw.core.settings;

import java.util.Optional;

/**
 * What a process is told at its start about its host and the bounds that hold there.
 *
 * @param hostName name of the host
 * @param ip its address
 * @param zone its availability zone
 * @param callers address for callers
 * @param readiness address of the readiness check
 * @param control address under which other hosts are told of this one, if the process has one
 * @param firstInternalPort first port for messages between hosts
 * @param store address of the platform's store
 * @param bounds bounds of the deployment
 */
public record HostSettings(
        String hostName,
        String ip,
        String zone,
        HostAddress callers,
        HostAddress readiness,
        Optional<HostAddress> control,
        int firstInternalPort,
        HostAddress store,
        HostBounds bounds) {}
