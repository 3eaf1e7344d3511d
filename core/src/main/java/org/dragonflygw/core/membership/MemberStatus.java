package org.dragonflygw.core.membership;

/** State of a daemon in the view of another. At the same incarnation the later constant overrides the earlier one. */
public enum MemberStatus {
    /** Takes part. */
    ALIVE(0),
    /** Did not answer; dead unless it refutes in time. */
    SUSPECT(1),
    /** Stops as planned: finishes its work and takes over nothing. */
    LEAVING(2),
    /** Gone; remembered so that a parted region is found again. */
    DEAD(3);

    private final int rank;

    MemberStatus(int rank) {
        this.rank = rank;
    }

    boolean overrides(MemberStatus other) {
        return rank > other.rank;
    }
}
