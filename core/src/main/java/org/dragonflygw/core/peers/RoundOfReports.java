package org.dragonflygw.core.peers;

import java.util.List;
import org.dragonflygw.core.settings.HostAddress;

/**
 * What a host sends to its peers in a round.
 *
 * @param reports direct reports, and the hosts that get each of them
 * @param loads what is sent about loads
 */
public record RoundOfReports(List<Addressed> reports, LoadMessages loads) {
    public RoundOfReports {
        reports = List.copyOf(reports);
    }

    /** A report and the hosts that get it. */
    public record Addressed(HostReport report, List<HostAddress> targets) {
        public Addressed {
            targets = List.copyOf(targets);
        }
    }
}
