package org.dragonflygw.core.settings;

/**
 * What a process is told about its host and the bounds that hold there.
 *
 * @param identity what stays as it is while the process runs
 * @param linkBytesPerMs bandwidth of the host's link in bytes a millisecond, 0 if it is not known
 * @param store address of the platform's store
 * @param bounds bounds of the deployment
 */
public record HostSettings(HostIdentity identity, double linkBytesPerMs, HostAddress store, HostBounds bounds) {}
