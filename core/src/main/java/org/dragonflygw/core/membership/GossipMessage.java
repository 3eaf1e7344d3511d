package org.dragonflygw.core.membership;

import java.util.List;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.timeline.HybridTimestamp;

/**
 * Request or answer of a push-pull gossip exchange.
 *
 * @param sender the sender's row about itself
 * @param memberDigest digest of the sender's member table; if the digests are equal, no further member rows are needed
 * @param sheetInForce number of the sheet in force at the sender
 * @param newestSheet newest sheet version that the sender knows
 * @param members rows about other daemons
 * @param loads load statements of endpoints
 * @param quarantined quarantined request fingerprints
 * @param sentAt hybrid clock of the sender
 */
public record GossipMessage(
        Member sender,
        long memberDigest,
        long sheetInForce,
        SheetVersion newestSheet,
        List<Member> members,
        List<EndpointLoad> loads,
        List<QuarantineEntry> quarantined,
        HybridTimestamp sentAt) {
    public GossipMessage {
        members = List.copyOf(members);
        loads = List.copyOf(loads);
        quarantined = List.copyOf(quarantined);
    }
}
