package org.dragonflygw.core.inspect;

/**
 * One daemon as another one sees it.
 *
 * @param daemonId name
 * @param address IP address
 * @param operatorPort port for operators
 * @param availabilityZone availability zone
 * @param region region that the availability zone belongs to
 * @param incarnation incarnation number; increases with each restart
 * @param status alive, suspect, leaving or dead
 * @param sheetNumber version of the sheet in force on that daemon
 * @param heardMillisAgo time since the daemon was last heard from, in milliseconds
 */
public record MemberView(
        String daemonId,
        String address,
        int operatorPort,
        String availabilityZone,
        String region,
        long incarnation,
        String status,
        long sheetNumber,
        long heardMillisAgo) {}
