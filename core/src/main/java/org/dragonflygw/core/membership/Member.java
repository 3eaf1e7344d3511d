package org.dragonflygw.core.membership;

/**
 * One daemon of the fleet.
 *
 * @param daemonId unique name
 * @param address IP address
 * @param peerPort port for other daemons
 * @param operatorPort port for operators; 0 while unknown
 * @param availabilityZone availability zone
 * @param region region
 * @param incarnation grows with each restart and each refutation; {@link #LISTED} while only the host list names it
 * @param status state
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
    /** Incarnation of a daemon that is known from the platform's host list only. */
    public static final long LISTED = 0;

    /** The same daemon in another state. */
    public Member withStatus(MemberStatus newStatus) {
        return new Member(daemonId, address, peerPort, operatorPort, availabilityZone, region, incarnation, newStatus);
    }

    /** The same daemon with another incarnation. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(daemonId, address, peerPort, operatorPort, availabilityZone, region, newIncarnation, status);
    }

    /** Whether it may be given work of others: alive, or suspect and not yet dead. */
    public boolean acceptsWork() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Whether a statement about a daemon overrides another one about the same daemon. */
    public boolean overrides(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return status.overrides(other.status);
    }
}
