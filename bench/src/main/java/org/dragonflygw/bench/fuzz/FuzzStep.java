package org.dragonflygw.bench.fuzz;

/** One step of a random run. Numbers of routers, endpoints and keys are taken modulo the number that exist. */
public sealed interface FuzzStep {
    /**
     * A caller sends a booking; the load balancer may deliver the booking to several routers at once.
     *
     * @param router number of the first router that receives the booking
     * @param key number of the idempotency key
     * @param content number of the content; different content under the same key is an error of the caller
     * @param deliveries number of routers that receive the booking
     */
    record Book(int router, int key, int content, int deliveries) implements FuzzStep {}

    /**
     * A caller sends a chat request.
     *
     * @param router number of the router that receives the request
     */
    record Chat(int router) implements FuzzStep {}

    /**
     * The fault of the store changes.
     *
     * @param fault the new fault; {@code NONE} for normal operation
     */
    record FailStore(StoreFault fault) implements FuzzStep {}

    /**
     * The fault of an endpoint changes.
     *
     * @param endpoint number of the endpoint
     * @param fault the new fault; {@code NONE} for normal operation
     */
    record FailEndpoint(int endpoint, EndpointFault fault) implements FuzzStep {}

    /**
     * A router process is paused.
     *
     * @param router number of the router
     * @param millis length of the pause, in milliseconds
     */
    record Pause(int router, int millis) implements FuzzStep {}

    /**
     * A router crashes and a new process replaces it.
     *
     * @param router number of the router
     */
    record Crash(int router) implements FuzzStep {}

    /**
     * An endpoint starts to drain, unless it is the last one in service.
     *
     * @param endpoint number of the endpoint
     */
    record Leave(int endpoint) implements FuzzStep {}

    /**
     * Virtual time advances.
     *
     * @param millis time to advance, in milliseconds
     */
    record Advance(int millis) implements FuzzStep {}
}
