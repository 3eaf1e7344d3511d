package org.dragonflygw.core.peers;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.settings.HostAddress;

/**
 * What a host sends about loads in a round.
 *
 * @param own load of this host
 * @param ownTargets hosts that add loads up
 * @param sums sums that this host made
 * @param sumTargets hosts that get the sums first
 */
public record LoadMessages(
        Optional<HostLoad> own, List<HostAddress> ownTargets, Optional<FleetLoad> sums, List<HostAddress> sumTargets) {
    /** Nothing to send. */
    public static final LoadMessages NONE = new LoadMessages(Optional.empty(), List.of(), Optional.empty(), List.of());

    public LoadMessages {
        ownTargets = List.copyOf(ownTargets);
        sumTargets = List.copyOf(sumTargets);
    }
}
