package org.dragonflygw.standins.platform;

/**
 * Configuration of {@link PlatformServer}: its rate limits and the lag of its host list when no fault is set.
 *
 * @param port port; 0 for an ephemeral one
 * @param readsPerSecond reads and scans of the table service per second; 0 for no limit
 * @param writesPerSecond transactions and object writes per second; 0 for no limit
 * @param weightBytesPerSecond bytes per second that the weight store grants; 0 for no limit
 * @param weightSizeBytes size of the weights of one model version, in bytes
 * @param hostListLagMillis lag of the host list, in milliseconds
 */
public record PlatformConfig(
        int port,
        int readsPerSecond,
        int writesPerSecond,
        long weightBytesPerSecond,
        long weightSizeBytes,
        long hostListLagMillis) {
    /** An ephemeral port, no limits and no lag. */
    public static final PlatformConfig UNLIMITED = new PlatformConfig(0, 0, 0, 0, 1 << 20, 0);

    /** Uses the rate limits of the real platform and a host list that lags by one second. */
    public static PlatformConfig withPlatformRates(int port) {
        return new PlatformConfig(port, 2000, 300, 200L << 20, 100L << 20, 1000);
    }
}
