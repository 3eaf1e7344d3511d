package org.dragonflygw.core.dispatch;

/**
 * Robust estimate of a positive quantity from noisy samples: a mean of logarithms in which one sample counts little,
 * however far off it is. The estimate is bounded to a multiple of its start value, and returns to it when samples stop, so
 * that a wrong estimate that keeps requests away cannot last. Not thread-safe.
 */
final class SpeedEstimate {
    /** Largest logarithm of the ratio of a sample to the estimate that counts; a factor of 1.6. */
    private static final double MAX_STEP = 0.5;

    /** Time without samples after which the estimate has moved halfway back to its start value, in nanoseconds. */
    private static final double HALF_LIFE_NANOS = 60e9;

    private final double weight;
    private final double maxLog;
    private double log;
    private long sampleNanos = Long.MIN_VALUE;
    private double factor = 1;
    private long factorNanos = Long.MIN_VALUE;

    /**
     * Creates an estimate that is 1 until there are samples.
     *
     * @param weight weight of one sample
     * @param maxFactor largest factor by which the estimate may differ from 1
     */
    SpeedEstimate(double weight, double maxFactor) {
        this.weight = weight;
        this.maxLog = Math.log(maxFactor);
    }

    /**
     * Adds a sample as its ratio to the current estimate. A ratio that is not a positive finite number is ignored.
     *
     * @param share share of the sample that this estimate accounts for, from 0 to 1
     */
    void add(double ratio, double share, long nowNanos) {
        if (!(ratio > 0) || Double.isInfinite(ratio)) {
            return;
        }
        double step = Math.max(-MAX_STEP, Math.min(MAX_STEP, Math.log(ratio)));
        double moved = logAt(nowNanos) + weight * share * step;
        log = Math.max(-maxLog, Math.min(maxLog, moved));
        sampleNanos = nowNanos;
        factorNanos = Long.MIN_VALUE;
    }

    /** Returns the estimate as a multiple of the start value. */
    double factor(long nowNanos) {
        if (log == 0) {
            return 1;
        }
        if (factorNanos != nowNanos) {
            factor = Math.exp(logAt(nowNanos));
            factorNanos = nowNanos;
        }
        return factor;
    }

    private double logAt(long nowNanos) {
        return log == 0 ? 0 : log * Math.pow(0.5, Math.max(0, nowNanos - sampleNanos) / HALF_LIFE_NANOS);
    }

    /** Returns when the last sample was added, on the monotonic clock; {@link Long#MIN_VALUE} if there is none. */
    long sampleNanos() {
        return sampleNanos;
    }
}
