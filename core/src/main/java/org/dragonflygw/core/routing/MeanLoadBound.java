package org.dragonflygw.core.routing;

/**
 * Bounds an engine's load to a multiple of the service's mean plus one request. The mean is taken low, so that the
 * bound holds although the sums are stale and the set of engines changes: the others' load is taken one standard
 * deviation below what was stated, and the mean as though one more empty engine had joined. Both are cut where they
 * would keep a service with even load from taking more.
 */
public final class MeanLoadBound implements LoadBound {
    private static final double PROGRESS_MARGIN = 1.04;
    private static final double DEVIATIONS = 1;

    private final String endpointId;
    private final double bound;
    private final ServiceLoads loads;
    private final double joinMargin;

    /**
     * Makes a bound for one engine.
     *
     * @param endpointId engine
     * @param bound greatest load over the mean of the service
     * @param loads stated loads of the service
     * @param joinMargin number of empty engines that may join unseen
     */
    public MeanLoadBound(String endpointId, double bound, ServiceLoads loads, double joinMargin) {
        this.endpointId = endpointId;
        this.bound = bound;
        this.loads = loads;
        this.joinMargin = joinMargin;
    }

    @Override
    public int maxLoad(int ownLoad, double durationMillis) {
        int total = loads.totalCapacity();
        int capacity = loads.capacity(endpointId);
        if (total <= capacity) {
            return Integer.MAX_VALUE;
        }
        double engines = (double) total / capacity;
        double margin = Math.min(joinMargin, engines * (bound - 1) / 2);
        double low = (ownLoad + loads.estimateOthersLoad(endpointId, durationMillis, DEVIATIONS)) / (engines + margin);
        double stated = (ownLoad + loads.estimateOthersLoad(endpointId, durationMillis, 0)) / engines;
        double mean = Math.max(low, stated * PROGRESS_MARGIN / bound);
        return (int) Math.floor(bound * mean + 1);
    }
}
