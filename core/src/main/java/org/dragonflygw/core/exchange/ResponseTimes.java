package org.dragonflygw.core.exchange;

/** When the parts of a response were read, over all attempts of a request; for the log. */
final class ResponseTimes {
    private long firstPartNanos;
    private long longestGapNanos;

    /** Records that the first part of an attempt's response was read. */
    void onFirstPart(long nowNanos) {
        if (firstPartNanos == 0) {
            firstPartNanos = nowNanos;
        }
    }

    /** Records the time between two parts of an attempt's response, in nanoseconds. */
    void onGap(long nanos) {
        longestGapNanos = Math.max(longestGapNanos, nanos);
    }

    /** When the first part was read, on the monotonic clock; 0 if none was. */
    long firstPartNanos() {
        return firstPartNanos;
    }

    long longestGapNanos() {
        return longestGapNanos;
    }
}
