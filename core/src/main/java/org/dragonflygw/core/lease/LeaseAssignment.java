package org.dragonflygw.core.lease;

import java.util.Collection;
import org.dragonflygw.core.routing.StewardAssignment;

/**
 * Which daemon should hold a lease: all daemons agree by rendezvous hashing of its name, so that leases spread evenly and
 * only one daemon of the fleet touches each row. A wrong view costs a conflicting write and no safety.
 */
public final class LeaseAssignment {
    private LeaseAssignment() {}

    /** Whether a daemon is the one that should hold the lease. */
    public static boolean isPreferred(String lease, String daemonId, Collection<String> workingDaemons) {
        return StewardAssignment.steward(lease, workingDaemons).equals(daemonId);
    }
}
