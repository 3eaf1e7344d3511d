package org.dragonflygw.standins.platform;

/**
 * How the platform stand-in behaves without faults.
 *
 * @param port port, 0 for an ephemeral one
 * @param readsPerSecond reads and scans of the table service a second; 0 for no limit
 * @param writesPerSecond transactions and objects written a second; 0 for no limit
 * @param weightBytesPerSecond bytes that the weight store gives a second; 0 for no limit
 * @param weightSizeBytes size of the weights of one model version
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

    /** The rates of today's platform on the given port, with a host list one second late. */
    public static PlatformConfig withPlatformRates(int port) {
        return new PlatformConfig(port, 2000, 300, 200L << 20, 100L << 20, 1000);
    }
}
