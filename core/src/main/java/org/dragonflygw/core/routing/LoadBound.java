package org.dragonflygw.core.routing;

/** Bounds the load of one engine against the mean of its service. Safe from every thread. */
public interface LoadBound {
    /** No bound but the engine's own limit. */
    LoadBound NONE = (ownLoad, durationMillis) -> Integer.MAX_VALUE;

    /**
     * Greatest load that the engine may carry now.
     *
     * @param ownLoad load of the engine now
     * @param durationMillis mean duration of a request there, in milliseconds
     * @return at least 1
     */
    int maxLoad(int ownLoad, double durationMillis);
}
