package org.dragonflygw.daemon;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.ledger.LedgerCode;
import org.dragonflygw.core.ledger.SubmissionDecision;
import org.dragonflygw.core.ledger.SubmissionGate;
import org.dragonflygw.core.request.ChatRequestReader;
import org.dragonflygw.core.request.RequestContextFactory;
import org.dragonflygw.core.retry.BoundedRetryPolicy;
import org.dragonflygw.core.retry.RetryPolicy;
import org.dragonflygw.core.routing.EndpointSelector;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.daemon.endpoint.LocalEndpointSelector;
import org.dragonflygw.daemon.operator.ActiveSheetCheck;
import org.dragonflygw.daemon.operator.HealthResource;
import org.dragonflygw.daemon.operator.OperatorResources;
import org.dragonflygw.daemon.operator.ReadinessCheck;
import org.dragonflygw.daemon.operator.StopCheck;
import org.dragonflygw.daemon.peer.GossipHandler;
import org.dragonflygw.daemon.peer.GrantHandler;
import org.dragonflygw.daemon.peer.PeerServer;
import org.dragonflygw.daemon.peer.RefusingHandlers;
import org.dragonflygw.daemon.stop.StopStep;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Base module of the daemon. The modules of the subsystems replace the defaults bound here through {@link OptionalBinder},
 * and add to the sets of background services, operator resources, readiness checks and stop steps.
 */
final class RouterModule extends AbstractModule {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final RouterSettings settings;
    private final Environment environment;

    RouterModule(RouterSettings settings, Environment environment) {
        this.settings = settings;
        this.environment = environment;
    }

    @Override
    protected void configure() {
        bind(RouterSettings.class).toInstance(settings);
        bind(MetricRegistry.class).toInstance(environment.metrics());
        bind(ObjectMapper.class).toInstance(environment.getObjectMapper());
        OptionalBinder.newOptionalBinder(binder(), Clock.class).setDefault().toInstance(Clock.systemUTC());
        bindDefaults();
        bindSets();
    }

    @Provides
    @Singleton
    HybridClock hybridClock(Clock clock) {
        return new HybridClock(clock);
    }

    @Provides
    @Singleton
    ChatRequestReader chatRequestReader() {
        return new ChatRequestReader(settings.getMaxBodyBytes());
    }

    @Provides
    @Singleton
    RequestContextFactory requestContextFactory(Clock clock) {
        return new RequestContextFactory(clock);
    }

    private void bindDefaults() {
        OptionalBinder.newOptionalBinder(binder(), EventRecorder.class)
                .setDefault()
                .toInstance(EventRecorder.DISCARD);
        OptionalBinder.newOptionalBinder(binder(), SheetSource.class)
                .setDefault()
                .toInstance(() -> ActiveSheet.NONE);
        OptionalBinder.newOptionalBinder(binder(), EndpointSource.class)
                .setDefault()
                .toInstance(pool -> List.of());
        OptionalBinder.newOptionalBinder(binder(), EndpointSelector.class)
                .setDefault()
                .to(LocalEndpointSelector.class);
        OptionalBinder.newOptionalBinder(binder(), RetryPolicy.class)
                .setDefault()
                .toInstance(new BoundedRetryPolicy(MAX_ATTEMPTS));
        OptionalBinder.newOptionalBinder(binder(), SubmissionGate.class)
                .setDefault()
                .toInstance(submission -> CompletableFuture.completedFuture(new SubmissionDecision.Rejected(
                        LedgerCode.LEDGER_UNAVAILABLE,
                        RunStatus.NOT_RUN,
                        "this daemon keeps no ledger of submissions",
                        RETRY_AFTER_MILLIS)));
        RefusingHandlers refusing = new RefusingHandlers();
        OptionalBinder.newOptionalBinder(binder(), GrantHandler.class)
                .setDefault()
                .toInstance(refusing);
        OptionalBinder.newOptionalBinder(binder(), GossipHandler.class)
                .setDefault()
                .toInstance(refusing);
    }

    private void bindSets() {
        Multibinder<Managed> managed = Multibinder.newSetBinder(binder(), Managed.class);
        managed.addBinding().to(PeerServer.class);
        Multibinder<ReadinessCheck> checks = Multibinder.newSetBinder(binder(), ReadinessCheck.class);
        checks.addBinding().to(StopCheck.class);
        checks.addBinding().to(ActiveSheetCheck.class);
        Multibinder.newSetBinder(binder(), StopStep.class);
        OperatorResources.add(binder(), HealthResource.class);
    }
}
