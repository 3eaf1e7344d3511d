package org.dragonflygw.core.routing;

/** Bounds the load of one engine relative to the mean load of its service. Implementations are thread safe. */
public interface LoadBound {
    /** No bound except the limit of the engine itself. */
    LoadBound NONE = (ownLoad, durationMillis) -> Integer.MAX_VALUE;

    /**
     * Returns the maximum load of the engine.
     *
     * @param ownLoad current load of the engine
     * @param durationMillis mean duration of a request on the engine, in milliseconds
     * @return maximum load in requests, at least 1
     */
    int maxLoad(int ownLoad, double durationMillis);
}
