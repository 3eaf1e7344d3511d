package org.dragonflygw.core.membership;

/**
 * Row of one daemon of the fleet in the membership protocol.
 *
 * @param daemonId unique id
 * @param address IP address
 * @param peerPort port for other daemons
 * @param operatorPort port for operators; 0 while unknown
 * @param availabilityZone availability zone of its host
 * @param region region of its host
 * @param incarnation increases with each restart and refutation; {@link #LISTED} while only the host list names it
 * @param status status in the view of the daemon that has this row
 */
public record Member(
        String daemonId,
        String address,
        int peerPort,
        int operatorPort,
        String availabilityZone,
        String region,
        long incarnation,
        MemberStatus status) {
    /** Incarnation of a daemon that is known only from the platform's host list. */
    public static final long LISTED = 0;

    /** Returns this row with another status. */
    public Member withStatus(MemberStatus newStatus) {
        return new Member(daemonId, address, peerPort, operatorPort, availabilityZone, region, incarnation, newStatus);
    }

    /** Returns this row with another incarnation. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(daemonId, address, peerPort, operatorPort, availabilityZone, region, newIncarnation, status);
    }

    /** Whether the daemon may be given work of other daemons: alive or suspect. */
    public boolean acceptsWork() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Whether this row overrides another row of the same daemon: later incarnation, then higher status. */
    public boolean overrides(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return status.overrides(other.status);
    }
}
