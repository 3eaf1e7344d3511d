package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import java.util.Optional;
import org.dragonflygw.daemon.operator.ReadinessCheck;

/** Readiness check that fails when another process runs with this daemon's id. */
final class IdentityCheck implements ReadinessCheck {
    private final GossipNode gossip;

    @Inject
    IdentityCheck(GossipNode gossip) {
        this.gossip = gossip;
    }

    @Override
    public String name() {
        return "identity";
    }

    @Override
    public Optional<String> problem() {
        return gossip.isSuperseded()
                ? Optional.of(
                        "another process runs with the id " + gossip.self().daemonId())
                : Optional.empty();
    }
}
