package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.time.Clock;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.inspect.EngineView;
import org.dragonflygw.core.membership.EndpointDirectory;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.StewardAssignment;

/** Operator resource with the endpoints that this daemon knows. */
@Path("/v1/engines")
@Produces(MediaType.APPLICATION_JSON)
public final class EnginesResource {
    private static final long NO_REPORT = -1;

    private final EndpointDirectory endpoints;
    private final KnownLoads loads;
    private final GossipNode gossip;
    private final Clock clock;

    @Inject
    public EnginesResource(EndpointDirectory endpoints, KnownLoads loads, GossipNode gossip, Clock clock) {
        this.endpoints = endpoints;
        this.loads = loads;
        this.gossip = gossip;
        this.clock = clock;
    }

    /** Returns all endpoints, sorted by pool and id. */
    @GET
    public List<EngineView> engines() {
        return endpoints.all().stream()
                .sorted(Comparator.comparing(Endpoint::pool).thenComparing(Endpoint::id))
                .map(this::view)
                .toList();
    }

    private EngineView view(Endpoint endpoint) {
        Optional<EndpointLoad> load = loads.find(endpoint.id());
        long age = load.map(known ->
                        Duration.between(known.receivedAt(), clock.instant()).toMillis())
                .orElse(NO_REPORT);
        return new EngineView(
                endpoint.id(),
                endpoint.pool(),
                endpoint.address() + ":" + endpoint.port(),
                endpoint.availabilityZone(),
                endpoint.region(),
                endpoint.state().name().toLowerCase(Locale.ROOT),
                StewardAssignment.steward(endpoint.id(), gossip.daemonsAcceptingWork(endpoint.region())),
                load.map(EndpointLoad::inFlight).orElse(0),
                load.map(EndpointLoad::queued).orElse(0),
                load.map(EndpointLoad::waitMillis).orElse(0),
                age);
    }
}
