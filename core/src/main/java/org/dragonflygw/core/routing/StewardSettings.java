package org.dragonflygw.core.routing;

/**
 * Settings of the steward of one engine.
 *
 * @param maxInFlight maximum number of requests on the engine
 * @param maxQueue maximum number of waiting requests
 * @param leaseMillis time until a grant expires unless renewed, in milliseconds
 * @param reservedPercent share of the slots that teams above their weighted share may not take, in percent
 * @param graceMillis time after a takeover in which another steward may still grant, in milliseconds
 * @param expectedDurationMillis assumed duration of a request until one completes, in milliseconds
 */
public record StewardSettings(
        int maxInFlight,
        int maxQueue,
        long leaseMillis,
        int reservedPercent,
        long graceMillis,
        long expectedDurationMillis) {
    /** Creates settings with the default times and reserve. */
    public static StewardSettings of(int maxInFlight, int maxQueue) {
        return new StewardSettings(maxInFlight, maxQueue, 20_000, 33, 5_000, 4_000);
    }

    /** Number of slots that teams above their weighted share may not take. */
    public int reservedSlots() {
        return maxInFlight < 4 ? 0 : Math.max(1, maxInFlight * reservedPercent / 100);
    }
}
