package org.dragonflygw.core.fleet;

/**
 * A host in the platform's host list.
 *
 * @param id unique name; a replacement host gets a new name
 * @param role what runs on the host
 * @param address IP address
 * @param port port of the endpoint, or the peer port of a router
 * @param availabilityZone availability zone
 * @param region region that the availability zone belongs to
 * @param pool name of the pool of endpoints; services of the sheet name a pool; empty for routers
 * @param state live or leaving
 */
public record HostEntry(
        String id,
        HostRole role,
        String address,
        int port,
        String availabilityZone,
        String region,
        String pool,
        HostState state) {}
