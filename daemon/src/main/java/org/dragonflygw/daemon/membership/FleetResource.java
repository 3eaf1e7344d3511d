package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.time.Clock;
import java.util.List;
import java.util.Locale;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.inspect.FleetView;
import org.dragonflygw.core.inspect.MemberView;
import org.dragonflygw.core.inspect.ServiceView;
import org.dragonflygw.core.membership.EndpointDirectory;
import org.dragonflygw.core.membership.LastExchange;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.wire.settings.RouterSettings;

/** Operator resource with the members and service loads that this daemon knows. */
@Path("/v1/fleet")
@Produces(MediaType.APPLICATION_JSON)
public final class FleetResource {
    private final GossipNode gossip;
    private final SheetSource sheets;
    private final EndpointDirectory endpoints;
    private final KnownLoads loads;
    private final Clock clock;
    private final RouterSettings settings;

    @Inject
    public FleetResource(
            GossipNode gossip,
            SheetSource sheets,
            EndpointDirectory endpoints,
            KnownLoads loads,
            Clock clock,
            RouterSettings settings) {
        this.gossip = gossip;
        this.sheets = sheets;
        this.endpoints = endpoints;
        this.loads = loads;
        this.clock = clock;
        this.settings = settings;
    }

    /** Returns the members, the loads of the services, and the gossip traffic of this daemon. */
    @GET
    public FleetView fleet() {
        ActiveSheet active = sheets.current();
        return new FleetView(
                settings.getDaemonId(),
                settings.getDeployment(),
                active.version().number(),
                active.version().digest(),
                FleetView.UNKNOWN_REUSE,
                gossip.sentBytesPerSecond(),
                gossip.receivedBytesPerSecond(),
                active.sheet().services().stream().map(this::service).toList(),
                gossip.members().stream().map(member -> member(member, active)).toList());
    }

    private ServiceView service(Service service) {
        List<Endpoint> pool = endpoints.endpoints(service.pool());
        int live = 0;
        int sum = 0;
        int max = 0;
        for (Endpoint endpoint : pool) {
            int inFlight = loads.inFlight(endpoint.id());
            live += endpoint.state() == EndpointState.LIVE ? 1 : 0;
            sum += inFlight;
            max = Math.max(max, inFlight);
        }
        double mean = pool.isEmpty() ? 0 : (double) sum / pool.size();
        double skew = sum == 0 ? 0 : max / mean;
        return new ServiceView(service.name(), live, pool.size(), mean, max, skew, service.loadBound());
    }

    private MemberView member(Member member, ActiveSheet active) {
        boolean self = member.daemonId().equals(settings.getDaemonId());
        LastExchange lastExchange = self
                ? new LastExchange(clock.instant(), active.version().number())
                : gossip.lastExchange(member.daemonId());
        return new MemberView(
                member.daemonId(),
                member.address(),
                member.operatorPort(),
                member.availabilityZone(),
                member.region(),
                member.incarnation(),
                member.status().name().toLowerCase(Locale.ROOT),
                lastExchange.sheetNumber(),
                Math.max(0, clock.millis() - lastExchange.at().toEpochMilli()));
    }
}
