package org.dragonflygw.core.timeline;

/**
 * Reading of a hybrid logical clock: ordered first by physical time, then by the logical counter.
 *
 * @param physicalMillis milliseconds since the epoch
 * @param logical orders readings of the same millisecond
 */
public record HybridTimestamp(long physicalMillis, int logical) implements Comparable<HybridTimestamp> {
    @Override
    public int compareTo(HybridTimestamp other) {
        int byTime = Long.compare(physicalMillis, other.physicalMillis);
        return byTime != 0 ? byTime : Integer.compare(logical, other.logical);
    }
}
