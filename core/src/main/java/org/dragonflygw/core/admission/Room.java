package org.dragonflygw.core.admission;

/**
 * How much room the endpoints of a service have together, as this host sees it.
 *
 * @param capacity number of requests that the endpoints take
 * @param load number of requests of all hosts at the endpoints
 * @param own number of requests of this host among them
 */
public record Room(double capacity, double load, int own) {
    /** Returns how many more requests the endpoints take. */
    public double free() {
        return Math.max(0, capacity - load);
    }
}
