package org.dragonflygw.core.fleet;

/**
 * One host of the platform's list.
 *
 * @param id unique name; a replaced host has a new one
 * @param role what runs on it
 * @param address IP address
 * @param port port of the endpoint, or the peer port of a router
 * @param availabilityZone availability zone
 * @param region region
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
