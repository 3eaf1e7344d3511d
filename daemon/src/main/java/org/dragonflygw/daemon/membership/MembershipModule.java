package org.dragonflygw.daemon.membership;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.membership.EndpointDirectory;
import org.dragonflygw.core.membership.GossipPayloads;
import org.dragonflygw.core.membership.MembershipView;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointLoadSink;
import org.dragonflygw.core.routing.EndpointLoadSource;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.daemon.operator.OperatorResources;
import org.dragonflygw.daemon.operator.ReadinessCheck;
import org.dragonflygw.daemon.peer.GossipHandler;
import org.dragonflygw.daemon.stop.StopStep;

/**
 * Binds gossip, members and endpoints. The grant module binds {@link EndpointLoadSource} to the loads that this daemon
 * reports, and adds an {@link EndpointLoadSink} that receives the loads reported by other daemons.
 */
public final class MembershipModule extends AbstractModule {
    private static final int QUARANTINE_CAPACITY = 10_000;

    @Override
    protected void configure() {
        bind(MembershipView.class).to(GossipNode.class);
        OptionalBinder.newOptionalBinder(binder(), EndpointSource.class)
                .setBinding()
                .to(EndpointDirectory.class);
        OptionalBinder.newOptionalBinder(binder(), GossipHandler.class)
                .setBinding()
                .to(PeerGossipHandler.class);
        OptionalBinder.newOptionalBinder(binder(), EndpointLoadSource.class)
                .setDefault()
                .toInstance(List::of);
        Multibinder.newSetBinder(binder(), EndpointLoadSink.class).addBinding().to(EndpointDirectory.class);
        Multibinder<Managed> managed = Multibinder.newSetBinder(binder(), Managed.class);
        managed.addBinding().to(GossipNode.class);
        managed.addBinding().to(HostListPoller.class);
        Multibinder.newSetBinder(binder(), ReadinessCheck.class).addBinding().to(IdentityCheck.class);
        Multibinder.newSetBinder(binder(), StopStep.class).addBinding().to(LeaveStep.class);
        OperatorResources.add(binder(), FleetResource.class);
        OperatorResources.add(binder(), EnginesResource.class);
    }

    @Provides
    @Singleton
    EndpointDirectory endpoints(Clock clock, EventRecorder events) {
        return new EndpointDirectory(clock, events);
    }

    @Provides
    @Singleton
    Quarantine quarantine(Clock clock) {
        return new Quarantine(QUARANTINE_CAPACITY, clock);
    }

    @Provides
    @Singleton
    GossipPayloads payloads(
            ActiveSheetHolder sheets,
            EndpointLoadSource ownLoads,
            EndpointDirectory endpoints,
            Set<EndpointLoadSink> sinks,
            Quarantine quarantine) {
        EndpointLoadSource recordingSource = () -> {
            List<EndpointLoad> loads = ownLoads.ownLoads();
            loads.forEach(endpoints::accept);
            return loads;
        };
        return new GossipPayloads(
                sheets, recordingSource, load -> sinks.forEach(sink -> sink.accept(load)), quarantine);
    }
}
