package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Optional;
import org.dragonflygw.core.membership.EndpointDirectory;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointLoadSource;

/** Newest known load of each endpoint: from a steward in this daemon, or else as received from other daemons. */
@Singleton
final class KnownLoads {
    private final EndpointLoadSource own;
    private final EndpointDirectory received;

    @Inject
    KnownLoads(EndpointLoadSource own, EndpointDirectory received) {
        this.own = own;
        this.received = received;
    }

    Optional<EndpointLoad> find(String endpointId) {
        for (EndpointLoad load : own.ownLoads()) {
            if (load.endpointId().equals(endpointId)) {
                return Optional.of(load);
            }
        }
        return received.load(endpointId);
    }

    int inFlight(String endpointId) {
        return find(endpointId).map(EndpointLoad::inFlight).orElse(0);
    }
}
