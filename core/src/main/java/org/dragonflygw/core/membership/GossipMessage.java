package org.dragonflygw.core.membership;

import java.util.List;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.timeline.HybridTimestamp;

/**
 * One half of a push-pull exchange.
 *
 * @param sender the sender about itself
 * @param memberDigest digest of the members that the sender knows; equal digests need no exchange of rows
 * @param sheetInForce number of the sheet in force at the sender
 * @param newestSheet newest sheet version that the sender has heard of
 * @param members rows about other daemons
 * @param loads load statements of endpoints
 * @param quarantined request fingerprints under quarantine
 * @param sentAt clock of the sender
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
