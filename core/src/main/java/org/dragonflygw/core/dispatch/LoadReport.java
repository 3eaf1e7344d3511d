package org.dragonflygw.core.dispatch;

/**
 * The load that an endpoint reported in a response.
 *
 * @param running number of running requests
 * @param waiting number of requests that wait for a slot
 * @param slots number of slots
 * @param workPercent how long work currently takes, as a percentage of the usual time; {@link #NOT_STATED} or
 *     {@link #UNREADABLE} if that is not known
 */
public record LoadReport(int running, int waiting, int slots, int workPercent) {
    /** The endpoint did not say how long work takes. */
    public static final int NOT_STATED = 0;

    /** What the endpoint said of how long work takes is not a positive number. */
    public static final int UNREADABLE = -1;

    /** Largest number of requests at an endpoint that is believed. */
    private static final int MAX_REQUESTS = 100_000;

    /** Creates a report that does not say how long work takes. */
    public LoadReport(int running, int waiting, int slots) {
        this(running, waiting, slots, NOT_STATED);
    }

    /** Returns whether the numbers of requests can be true. */
    boolean isPlausible() {
        return running >= 0 && waiting >= 0 && running <= MAX_REQUESTS && waiting <= MAX_REQUESTS;
    }
}
