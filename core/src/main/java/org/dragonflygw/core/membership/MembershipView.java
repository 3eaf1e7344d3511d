package org.dragonflygw.core.membership;

import java.util.List;

/** The daemons of the fleet in the current view of this daemon. Thread-safe. */
public interface MembershipView {
    /** The row of this daemon. */
    Member self();

    /** All daemons that are not dead, this one included, sorted by id. The list is immutable. */
    List<Member> members();

    /**
     * Ids of the daemons of a region that may be given work, sorted, for rendezvous hashing. Includes this daemon
     * unless it is leaving.
     */
    default List<String> daemonsAcceptingWork(String region) {
        return members().stream()
                .filter(member -> member.acceptsWork() && member.region().equals(region))
                .map(Member::daemonId)
                .toList();
    }
}
