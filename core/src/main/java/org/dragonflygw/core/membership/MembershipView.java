package org.dragonflygw.core.membership;

import java.util.List;

/** Gives the daemons of the fleet as this daemon sees them now. Safe from every thread. */
public interface MembershipView {
    /** This daemon. */
    Member self();

    /** All daemons that are not dead, this one included, in order of their ids. The list is immutable. */
    List<Member> members();

    /**
     * Ids of the daemons of a region that may be given work, in order; the base of rendezvous hashing. This daemon is
     * among them unless it leaves.
     */
    default List<String> daemonsAcceptingWork(String region) {
        return members().stream()
                .filter(member -> member.acceptsWork() && member.region().equals(region))
                .map(Member::daemonId)
                .toList();
    }
}
