package org.dragonflygw.core.routing;

/**
 * Bounds the load of an engine to a multiple of the service's mean load plus one request. The mean is underestimated,
 * so that the bound holds although the sums are stale and the set of engines changes: the load of the other engines is
 * taken one standard deviation below the stated load, and the mean is computed as if one more empty engine had joined.
 * Both margins are limited, so that an evenly loaded service can still grow.
 */
public final class MeanLoadBound implements LoadBound {
    private static final double PROGRESS_MARGIN = 1.04;
    private static final double STANDARD_DEVIATIONS = 1;

    private final String endpointId;
    private final double bound;
    private final ServiceLoads loads;
    private final double joinMargin;

    /**
     * @param endpointId id of the engine
     * @param bound maximum ratio of the load to the mean of the service
     * @param loads last stated loads of the service
     * @param joinMargin number of empty engines that may have joined unnoticed
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
        double lowMean = (ownLoad + loads.estimateOthersLoad(endpointId, durationMillis, STANDARD_DEVIATIONS))
                / (engines + margin);
        double statedMean = (ownLoad + loads.estimateOthersLoad(endpointId, durationMillis, 0)) / engines;
        double mean = Math.max(lowMean, statedMean * PROGRESS_MARGIN / bound);
        return (int) Math.floor(bound * mean + 1);
    }
}
