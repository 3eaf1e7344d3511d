package org.dragonflygw.core.membership;

/** Status of a daemon in the view of another. At the same incarnation a later constant overrides an earlier one. */
public enum MemberStatus {
    /** Takes part in the fleet. */
    ALIVE(0),
    /** Did not answer; becomes dead unless it refutes the suspicion in time. */
    SUSPECT(1),
    /** Planned stop: finishes its work and takes no new work. */
    LEAVING(2),
    /** Stopped or unreachable; still probed for a time, so that the members of a partitioned region are found again. */
    DEAD(3);

    private final int rank;

    MemberStatus(int rank) {
        this.rank = rank;
    }

    boolean overrides(MemberStatus other) {
        return rank > other.rank;
    }
}
