package org.dragonflygw.core.dispatch;

/**
 * How fast one endpoint works: the usual speeds of its service times a factor of its own. The factor is learned from
 * responses and from the percentage that the endpoint states in its load reports, which is smoothed over the time of a
 * request, since a request meets the mean of what changes many times while it runs. Not thread-safe.
 */
final class EndpointSpeeds {
    /** Weight of one response. A host sees few responses of one engine, so each counts much. */
    private static final double SAMPLE_WEIGHT = 1 / 8.0;

    private static final double MAX_FACTOR = 8;

    /** Largest weight of one stated percentage, since the next one may differ although much time has passed. */
    private static final double MAX_STATED_WEIGHT = 0.25;

    /** Time after which a stated percentage has lost half its effect, in nanoseconds. */
    private static final double STATED_HALF_LIFE_NANOS = 10e9;

    /** Range of stated percentages that are believed. */
    private static final int MIN_STATED_PERCENT = 10;

    private static final int MAX_STATED_PERCENT = 1_000;

    private static final double PERCENT = 100;
    private static final double NANOS_PER_MS = 1e6;

    private final ServiceSpeeds service;
    private final SpeedEstimate slowness = new SpeedEstimate(SAMPLE_WEIGHT, MAX_FACTOR);
    private double stated = 1;
    private long statedNanos = Long.MIN_VALUE;
    private double statedFactor = 1;
    private long statedFactorNanos = Long.MIN_VALUE;

    EndpointSpeeds(ServiceSpeeds service) {
        this.service = service;
    }

    /** Returns the time that the endpoint needs for reading prompt tokens, in milliseconds. */
    double readMs(double tokens, long nowNanos) {
        return tokens == 0 ? 0 : service.readMs(tokens, nowNanos) * factor(nowNanos);
    }

    /**
     * Returns the expected time to the first token, in milliseconds.
     *
     * @param tokens prompt tokens to read before, including those of other requests
     * @param running number of running requests
     */
    double firstTokenMs(double tokens, double running, long nowNanos) {
        return (service.readMs(tokens, nowNanos) + service.runningMs(running, nowNanos)) * factor(nowNanos);
    }

    /** Returns the expected time of a request to a plain service that does not wait, in milliseconds. */
    double plainMs(long nowNanos) {
        return service.plainMs(nowNanos) * factor(nowNanos);
    }

    /** Returns how long work takes on the endpoint, as a multiple of what is usual for its service. */
    double factor(long nowNanos) {
        return statedFactor(nowNanos) * slowness.factor(nowNanos);
    }

    private double statedFactor(long nowNanos) {
        if (stated == 1) {
            return 1;
        }
        if (statedFactorNanos != nowNanos) {
            double remaining = Math.pow(0.5, Math.max(0, nowNanos - statedNanos) / STATED_HALF_LIFE_NANOS);
            statedFactor = 1 + (stated - 1) * remaining;
            statedFactorNanos = nowNanos;
        }
        return statedFactor;
    }

    /** Returns the age of what was learned of the endpoint itself, in milliseconds; -1 if nothing was. */
    long ageMs(long nowNanos) {
        long newest = Math.max(slowness.sampleNanos(), statedNanos);
        return newest == Long.MIN_VALUE ? -1 : (long) ((nowNanos - newest) / NANOS_PER_MS);
    }

    /**
     * Learns from how long work takes by the endpoint's own statement.
     *
     * @param percent time as a percentage of the usual one; values out of range are cut, and those below 1 ignored
     * @param requestNanos typical time of a request
     */
    void onStated(int percent, double requestNanos, long nowNanos) {
        if (percent < 1) {
            return;
        }
        double value = Math.max(MIN_STATED_PERCENT, Math.min(MAX_STATED_PERCENT, percent)) / PERCENT;
        double elapsed = statedNanos == Long.MIN_VALUE ? Double.MAX_VALUE : nowNanos - statedNanos;
        double weight = Math.min(MAX_STATED_WEIGHT, 1 - Math.exp(-elapsed / Math.max(1, requestNanos)));
        stated += weight * (value - stated);
        statedNanos = nowNanos;
        statedFactorNanos = Long.MIN_VALUE;
    }

    /** Learns from the time to a first token; see {@link #firstTokenMs}. */
    void onFirstToken(double measuredMs, double tokens, double running, long nowNanos) {
        double readMs = service.readMs(tokens, nowNanos);
        double usualMs = readMs + service.runningMs(Math.max(1, running), nowNanos);
        double ratio = measuredMs / (usualMs * factor(nowNanos));
        service.onFirstToken(ratio, readMs / usualMs, nowNanos);
        slowness.add(ratio, 1, nowNanos);
    }

    /**
     * Learns from the time of a request to a plain service.
     *
     * @param queuePerSlot requests that waited for a slot, per slot
     */
    void onPlainRequest(double measuredMs, double queuePerSlot, long nowNanos) {
        double ratio = measuredMs / (plainMs(nowNanos) * (1 + Math.max(0, queuePerSlot)));
        service.onPlainRequest(ratio, nowNanos);
        slowness.add(ratio, 1, nowNanos);
    }
}
