package org.dragonflygw.core.settings;

/**
 * Settings of a process: its host, and the limits of the deployment.
 *
 * @param identity name, location and addresses of the host, which are fixed while the process runs
 * @param linkBytesPerMs bandwidth of the host's network link in bytes per millisecond; 0 if unknown
 * @param store address of the platform's store
 * @param bounds limits of the deployment
 */
public record HostSettings(HostIdentity identity, double linkBytesPerMs, HostAddress store, HostBounds bounds) {}
