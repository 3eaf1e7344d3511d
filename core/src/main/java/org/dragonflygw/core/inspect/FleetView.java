package org.dragonflygw.core.inspect;

import java.util.List;

/**
 * The fleet as one daemon sees it: answer of {@code GET /v1/fleet}.
 *
 * @param daemonId daemon that sent this view
 * @param deployment deployment of the daemon
 * @param sheetNumber version of the sheet in force; 0 for none
 * @param sheetDigest digest of the sheet in force
 * @param cacheReusePercent share of the prompt tokens routed by this daemon that were in the engines' prefix
 *     caches, in percent; {@link #UNKNOWN_REUSE} while the engines do not report it
 * @param controlBytesSentPerSecond gossip sent by this daemon, in bytes per second, mean of the last minute
 * @param controlBytesReceivedPerSecond gossip received, in bytes per second, mean of the last minute
 * @param services load of each service
 * @param members daemons of the fleet
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
    /** Value of {@link #cacheReusePercent} while no engine reports cache reuse. */
    public static final double UNKNOWN_REUSE = -1;

    public FleetView {
        services = List.copyOf(services);
        members = List.copyOf(members);
    }
}
