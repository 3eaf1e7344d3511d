package org.dragonflygw.core.lease;

import java.util.Collection;
import org.dragonflygw.core.routing.StewardAssignment;

/**
 * Selects the daemon that should hold a lease by rendezvous hashing of the lease's name. Leases spread evenly, and only
 * one daemon of the fleet reads and writes each row. Daemons with different views of the fleet cause conflicting
 * writes, but do not affect safety.
 */
public final class LeaseAssignment {
    private LeaseAssignment() {}

    /** Whether the daemon should hold the lease, given the daemons that are working now. */
    public static boolean isPreferred(String lease, String daemonId, Collection<String> workingDaemons) {
        return StewardAssignment.steward(lease, workingDaemons).equals(daemonId);
    }
}
