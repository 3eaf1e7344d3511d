package org.dragonflygw.core.dispatch;

/** How fast the endpoints of a service usually work, learned from responses. Not thread-safe. */
final class ServiceSpeeds {
    /** Start value: prompt tokens that an engine reads (prefills) per millisecond. */
    static final double INITIAL_READ_TOKENS_PER_MS = 50;

    /** Start value: delay of the first token per running request, in milliseconds. */
    static final double INITIAL_RUNNING_REQUEST_MS = 2.5;

    /** Start value: time for which a request occupies a slot of a plain service, in milliseconds. */
    static final double INITIAL_PLAIN_REQUEST_MS = 25;

    private static final double SAMPLE_WEIGHT = 1 / 16.0;

    /** Largest factor between a start value and what is learned; wider than from the slowest to the fastest engines. */
    private static final double MAX_FACTOR = 10;

    private final SpeedEstimate read = new SpeedEstimate(SAMPLE_WEIGHT, MAX_FACTOR);
    private final SpeedEstimate running = new SpeedEstimate(SAMPLE_WEIGHT, MAX_FACTOR);
    private final SpeedEstimate plain = new SpeedEstimate(SAMPLE_WEIGHT, MAX_FACTOR);

    /** Returns the time for reading prompt tokens, in milliseconds. */
    double readMs(double tokens, long nowNanos) {
        return tokens / INITIAL_READ_TOKENS_PER_MS * read.factor(nowNanos);
    }

    /** Returns the delay of the first token by running requests, in milliseconds. */
    double runningMs(double requests, long nowNanos) {
        return requests * INITIAL_RUNNING_REQUEST_MS * running.factor(nowNanos);
    }

    /** Returns the time of a request to a plain service that does not wait, in milliseconds. */
    double plainMs(long nowNanos) {
        return INITIAL_PLAIN_REQUEST_MS * plain.factor(nowNanos);
    }

    /**
     * Learns from the time to a first token.
     *
     * @param ratio measured time as a multiple of the expected one
     * @param readShare share of the expected time that was for reading the prompt
     */
    void onFirstToken(double ratio, double readShare, long nowNanos) {
        read.add(ratio, readShare, nowNanos);
        running.add(ratio, 1 - readShare, nowNanos);
    }

    /** Learns from the time of a plain request, as a multiple of the expected one. */
    void onPlainRequest(double ratio, long nowNanos) {
        plain.add(ratio, 1, nowNanos);
    }
}
