package org.dragonflygw.core.dispatch;

/**
 * Whether the endpoints of a service are brittle: one that has to reject too many requests in a second for want of room
 * ends. What one endpoint says counts for all of its service. Not thread-safe.
 */
public final class Brittleness {
    /** Time for which the last statement holds, in nanoseconds. All responses of brittle endpoints state it. */
    private static final long HOLD_NANOS = 10_000_000_000L;

    /** Standard deviations of the estimated load that are kept free. */
    private static final double FREE_DEVIATIONS = 0.5;

    /** Weight of one decision in the share of the requests that are let through. */
    private static final double DECISION_WEIGHT = 1 / 32.0;

    private static final double MIN_ADMITTED_SHARE = 0.05;

    private double admittedShare = 1;
    private boolean stated;
    private long untilNanos;
    private int rejectionsPerSecond;

    /**
     * Records that an endpoint says that it is brittle.
     *
     * @param perSecond rejections in a second that it bears; of several statements the lowest counts
     * @return whether the service was not brittle before
     */
    boolean onStated(int perSecond, long nowNanos) {
        boolean began = !isBrittle(nowNanos);
        rejectionsPerSecond = began ? perSecond : Math.min(rejectionsPerSecond, perSecond);
        untilNanos = nowNanos + HOLD_NANOS;
        stated = true;
        return began;
    }

    /** Returns whether the endpoints are brittle. */
    public boolean isBrittle(long nowNanos) {
        return stated && nowNanos - untilNanos < 0;
    }

    /** Returns the rejections in a second that one endpoint bears. */
    public int rejectionsPerSecond() {
        return rejectionsPerSecond;
    }

    /**
     * Returns the number of requests for which a brittle endpoint has room, as far as this host knows; infinite if its
     * number of slots is not known.
     */
    double freePlaces(EndpointLoadState endpoint, long nowNanos) {
        int slots = endpoint.entry().slots();
        if (slots <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double load = endpoint.highestLoad(nowNanos) + FREE_DEVIATIONS * endpoint.loadDeviation(nowNanos);
        return Math.max(0, slots - load);
    }

    /** Records whether a request was let through to the endpoints. */
    void onDecided(boolean admitted) {
        admittedShare += DECISION_WEIGHT * ((admitted ? 1 : 0) - admittedShare);
    }

    /** Returns the share of the requests that are let through. */
    double admittedShare() {
        return Math.max(MIN_ADMITTED_SHARE, admittedShare);
    }
}
