package org.dragonflygw.core.inspect;

import java.util.List;

/**
 * The fleet as one daemon sees it: answer of {@code GET /v1/fleet}.
 *
 * @param daemonId daemon that answers
 * @param deployment deployment that it serves
 * @param sheetNumber version of the sheet in force; 0 for none
 * @param sheetDigest digest of the sheet in force
 * @param cacheReusePercent prompt tokens that the engines' prefix caches held, of all prompt tokens routed by this
 *     daemon, in percent; {@link #UNKNOWN_REUSE} while the engines do not report it
 * @param controlBytesSentPerSecond gossip sent by this daemon, in bytes per second, mean of the last minute
 * @param controlBytesReceivedPerSecond gossip received, in bytes per second, mean of the last minute
 * @param services load of each service
 * @param members daemons
 */
public record FleetView(
        String daemonId,
        String deployment,
        long sheetNumber,
        String sheetDigest,
        double cacheReusePercent,
        double controlBytesSentPerSecond,
        double controlBytesReceivedPerSecond,
        List<ServiceView> services,
        List<MemberView> members) {
    /** Cache reuse that no engine reported. */
    public static final double UNKNOWN_REUSE = -1;

    public FleetView {
        services = List.copyOf(services);
        members = List.copyOf(members);
    }
}
