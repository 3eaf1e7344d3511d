package org.dragonflygw.bench.fuzz;

/** One step of a run. Numbers that are too large are taken modulo what there is. */
public sealed interface FuzzStep {
    /**
     * A caller books something; the balancer may deliver it to several routers at once.
     *
     * @param router first router that gets it
     * @param key number of the key
     * @param content number of the content; other content under the same key is a fault of the caller
     * @param deliveries number of routers that get it
     */
    record Book(int router, int key, int content, int deliveries) implements FuzzStep {}

    /**
     * A caller chats.
     *
     * @param router router that gets it
     */
    record Chat(int router) implements FuzzStep {}

    /**
     * The store begins to fail, or to work again.
     *
     * @param fault the fault
     */
    record FailStore(StoreFault fault) implements FuzzStep {}

    /**
     * An endpoint begins to fail, or to work again.
     *
     * @param endpoint number of the endpoint
     * @param fault the fault
     */
    record FailEndpoint(int endpoint, EndpointFault fault) implements FuzzStep {}

    /**
     * A router is paused.
     *
     * @param router number of the router
     * @param millis length of the pause
     */
    record Pause(int router, int millis) implements FuzzStep {}

    /**
     * A router ends without warning and a new one takes its place.
     *
     * @param router number of the router
     */
    record Crash(int router) implements FuzzStep {}

    /**
     * An endpoint leaves; the last one stays.
     *
     * @param endpoint number of the endpoint
     */
    record Leave(int endpoint) implements FuzzStep {}

    /**
     * Time passes.
     *
     * @param millis how much
     */
    record Advance(int millis) implements FuzzStep {}
}
