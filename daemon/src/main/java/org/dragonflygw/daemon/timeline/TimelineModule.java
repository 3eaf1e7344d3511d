package org.dragonflygw.daemon.timeline;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.OptionalBinder;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventRing;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.daemon.inspect.RequestMonitor;
import org.dragonflygw.daemon.inspect.RequestsResource;
import org.dragonflygw.daemon.inspect.TeamsResource;
import org.dragonflygw.daemon.operator.OperatorResources;
import org.dragonflygw.wire.settings.RouterSettings;

/** Guice module of the event timeline and of the operator views derived from its events. */
public final class TimelineModule extends AbstractModule {
    @Override
    protected void configure() {
        OptionalBinder.newOptionalBinder(binder(), EventRecorder.class)
                .setBinding()
                .to(MonitoredRecorder.class);
        OperatorResources.add(binder(), TimelineResource.class);
        OperatorResources.add(binder(), TeamsResource.class);
        OperatorResources.add(binder(), RequestsResource.class);
    }

    @Provides
    @Singleton
    EventRing ring(RouterSettings settings, HybridClock clock, MetricRegistry registry) {
        EventRing ring = new EventRing(settings.getDaemonId(), clock, settings.getTimelineBytes());
        registry.register("dragonflygw.timeline.used.bytes", (Gauge<Long>)
                () -> ring.usage().usedBytes());
        registry.register("dragonflygw.timeline.held.events", (Gauge<Long>)
                () -> ring.usage().events());
        registry.register("dragonflygw.timeline.recorded.events", (Gauge<Long>)
                () -> ring.usage().recorded());
        return ring;
    }

    @Provides
    @Singleton
    MonitoredRecorder recorder(EventRing ring, RequestMonitor monitor) {
        return new MonitoredRecorder(ring, monitor);
    }
}
