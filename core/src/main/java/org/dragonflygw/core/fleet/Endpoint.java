package org.dragonflygw.core.fleet;

/**
 * One endpoint (a model engine or a plain service instance) as routing sees it.
 *
 * @param id unique name
 * @param pool pool of endpoints that it belongs to
 * @param address IP address
 * @param port port
 * @param availabilityZone availability zone
 * @param region region
 * @param capacity relative capacity, from 1; rendezvous weights and load bounds scale with it
 * @param state whether it takes new work
 */
public record Endpoint(
        String id,
        String pool,
        String address,
        int port,
        String availabilityZone,
        String region,
        int capacity,
        EndpointState state) {}
