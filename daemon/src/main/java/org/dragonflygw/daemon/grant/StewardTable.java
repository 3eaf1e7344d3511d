package org.dragonflygw.daemon.grant;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointLoadSource;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.MeanLoadBound;
import org.dragonflygw.core.routing.StewardSettings;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * The stewards of the engines that this daemon owns. Thread-safe. Lock order: the monitor of this table, then the monitor
 * of a {@link PoolState}, then the monitor of an {@link EngineSteward}.
 */
@Singleton
public final class StewardTable implements EndpointLoadSource {
    private static final double JOIN_MARGIN = 1;

    private final SheetSource sheets;
    private final PoolStates pools;
    private final OwnershipView view;
    private final EpochGenerator epochs;
    private final EventRecorder events;
    private final Clock clock;
    private final Map<String, StewardedEngine> stewards = new ConcurrentHashMap<>();

    @Inject
    public StewardTable(
            SheetSource sheets,
            PoolStates pools,
            OwnershipView view,
            EpochGenerator epochs,
            EventRecorder events,
            Clock clock,
            MetricRegistry metrics) {
        this.sheets = sheets;
        this.pools = pools;
        this.view = view;
        this.epochs = epochs;
        this.events = events;
        this.clock = clock;
        metrics.registerGauge("dragonflygw.grant.stewarded.engines", stewards::size);
    }

    /** Returns the steward of an engine; empty when this daemon does not own the engine. */
    Optional<EngineSteward> find(String engineId) {
        return Optional.ofNullable(stewards.get(engineId)).map(StewardedEngine::steward);
    }

    /** Returns the engines that this daemon owns. */
    List<StewardedEngine> all() {
        return List.copyOf(stewards.values());
    }

    /** Takes over the engines that are newly assigned to this daemon and hands over those assigned to other daemons. */
    synchronized void refresh() {
        Map<String, Service> services = servicesByPool();
        Map<String, StewardedEngine> owned = new HashMap<>();
        for (Map.Entry<String, Service> entry : services.entrySet()) {
            PoolState pool = pools.of(entry.getKey());
            for (Endpoint endpoint : pool.endpointList()) {
                boolean own = view.engineSteward(endpoint.id(), endpoint.region())
                        .filter(view::isSelf)
                        .isPresent();
                if (own) {
                    owned.put(endpoint.id(), takeOver(entry.getValue(), pool, endpoint));
                }
            }
        }
        Set<String> removed = new HashSet<>(stewards.keySet());
        removed.removeAll(owned.keySet());
        removed.forEach(this::handOver);
        stewards.putAll(owned);
        pools.retain(services.keySet());
    }

    /** Passes loads that other stewards report for engines of this daemon to the engines' stewards here. */
    void observeOtherStewards() {
        for (StewardedEngine engine : stewards.values()) {
            engine.pool().loads().find(engine.endpoint().id()).ifPresent(engine.steward()::onOtherSteward);
        }
    }

    @Override
    public List<EndpointLoad> ownLoads() {
        List<EndpointLoad> loads = new ArrayList<>();
        for (StewardedEngine engine : stewards.values()) {
            loads.add(engine.steward().load());
        }
        return loads;
    }

    private StewardedEngine takeOver(Service service, PoolState pool, Endpoint endpoint) {
        StewardSettings settings = settings(service, endpoint);
        StewardedEngine known = stewards.get(endpoint.id());
        if (known != null) {
            if (!known.settings().equals(settings) || known.loadBound() != service.loadBound()) {
                known.steward().reconfigure(settings, bound(service, pool, endpoint));
            }
            if (endpoint.state() == EndpointState.LEAVING && known.endpoint().state() != EndpointState.LEAVING) {
                known.steward().leave();
                events.record(EventType.ENDPOINT_LEAVING, EventSubject.endpoint(endpoint.id()), "no new grants");
            }
            return new StewardedEngine(endpoint, known.steward(), settings, service.loadBound(), pool);
        }
        Optional<EndpointLoad> reported = pool.loads().find(endpoint.id());
        long epoch = epochs.next(reported.map(EndpointLoad::epoch).orElse(0L));
        int inherited = reported.map(EndpointLoad::inFlight).orElse(0);
        EngineSteward steward =
                new EngineSteward(endpoint.id(), epoch, settings, bound(service, pool, endpoint), inherited, clock);
        if (endpoint.state() == EndpointState.LEAVING) {
            steward.leave();
        }
        events.record(
                EventType.STEWARDSHIP_TAKEN,
                EventSubject.endpoint(endpoint.id()),
                "epoch " + epoch + ", " + inherited + " requests reported before");
        return new StewardedEngine(endpoint, steward, settings, service.loadBound(), pool);
    }

    private static StewardSettings settings(Service service, Endpoint endpoint) {
        return StewardSettings.of(service.maxInFlight() * Math.max(1, endpoint.capacity()), service.maxQueue());
    }

    private static MeanLoadBound bound(Service service, PoolState pool, Endpoint endpoint) {
        return new MeanLoadBound(endpoint.id(), service.loadBound(), pool.loads(), JOIN_MARGIN);
    }

    private void handOver(String engineId) {
        StewardedEngine stewarded = stewards.remove(engineId);
        stewarded.steward().close();
        events.record(
                EventType.STEWARDSHIP_HANDED_OVER,
                EventSubject.endpoint(engineId),
                stewarded.steward().openGrants() + " requests in flight");
    }

    private Map<String, Service> servicesByPool() {
        Map<String, Service> services = new HashMap<>();
        for (Service service : sheets.current().sheet().services()) {
            services.putIfAbsent(service.pool(), service);
        }
        return services;
    }
}
