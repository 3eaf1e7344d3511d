package org.dragonflygw.core.timeline;

/**
 * Reading of a {@link HybridClock}, ordered by physical time and then by the logical counter.
 *
 * @param physicalMillis milliseconds since the epoch
 * @param logical counter that orders readings of the same millisecond
 */
public record HybridTimestamp(long physicalMillis, int logical) implements Comparable<HybridTimestamp> {
    @Override
    public int compareTo(HybridTimestamp other) {
        int byTime = Long.compare(physicalMillis, other.physicalMillis);
        return byTime != 0 ? byTime : Integer.compare(logical, other.logical);
    }
}
