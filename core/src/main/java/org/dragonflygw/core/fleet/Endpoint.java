package org.dragonflygw.core.fleet;

/**
 * An endpoint, which is a model engine or an instance of a plain service, as used for routing.
 *
 * @param id unique name
 * @param pool name of the pool of the endpoint
 * @param address IP address
 * @param port TCP port
 * @param availabilityZone availability zone
 * @param region region that the availability zone belongs to
 * @param capacity relative capacity, from 1; rendezvous weights and load bounds scale with it
 * @param state whether the endpoint takes new work
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
