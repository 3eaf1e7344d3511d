package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.daemon.peer.PeerClients;
import org.dragonflygw.daemon.peer.PeerException;
import org.dragonflygw.wire.codec.GrantCodec;
import org.dragonflygw.wire.codec.WireException;
import org.dragonflygw.wire.grants.EngineLoad;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantUpdateReply;
import org.dragonflygw.wire.grants.LoadStatement;
import org.dragonflygw.wire.grants.LoadSum;

/**
 * Periodic background tasks of grants: takes over and hands over engines, expires grants and quarantines, renews and ends
 * grants at their stewards in batches, and exchanges engine loads with the owner of each pool.
 */
@Singleton
public final class GrantMaintenance implements Managed {
    private static final Logger LOG = LogManager.getLogger(GrantMaintenance.class);
    private static final int THREADS = 4;
    private static final int CALL_TIMEOUT_MILLIS = 500;
    private static final long FLUSH_INTERVAL_MILLIS = 20;
    private static final long EXPIRE_INTERVAL_MILLIS = 50;
    private static final long REFRESH_INTERVAL_MILLIS = 100;
    private static final long LOADS_INTERVAL_MILLIS = 200;
    private static final long CONTENDED_LOADS_INTERVAL_MILLIS = 20;
    private static final long RENEW_INTERVAL_MILLIS = 6_000;
    private static final long QUARANTINE_INTERVAL_MILLIS = 5_000;

    private final StewardTable stewards;
    private final OwnershipView view;
    private final UpdateBatches batches;
    private final HeldGrantTable heldGrants;
    private final Quarantine quarantine;
    private final PeerClients peers;
    private final EventRecorder events;
    private final GrantMetrics metrics;
    private final HybridClock hybridClock;
    private final Clock clock;
    private final Map<String, Long> lastExchangeMillis = new ConcurrentHashMap<>();
    private final Set<String> busyRecipients = ConcurrentHashMap.newKeySet();
    private ScheduledExecutorService timer;
    private ExecutorService senders;

    @Inject
    GrantMaintenance(
            StewardTable stewards,
            OwnershipView view,
            UpdateBatches batches,
            HeldGrantTable heldGrants,
            Quarantine quarantine,
            PeerClients peers,
            EventRecorder events,
            GrantMetrics metrics,
            HybridClock hybridClock,
            Clock clock) {
        this.stewards = stewards;
        this.view = view;
        this.batches = batches;
        this.heldGrants = heldGrants;
        this.quarantine = quarantine;
        this.peers = peers;
        this.events = events;
        this.metrics = metrics;
        this.hybridClock = hybridClock;
        this.clock = clock;
    }

    @Override
    public void start() {
        timer = Executors.newScheduledThreadPool(THREADS, GrantMaintenance::newThread);
        senders = Executors.newCachedThreadPool(GrantMaintenance::newThread);
        scheduleEvery(REFRESH_INTERVAL_MILLIS, this::refresh);
        scheduleEvery(EXPIRE_INTERVAL_MILLIS, this::expire);
        scheduleEvery(FLUSH_INTERVAL_MILLIS, this::flush);
        scheduleEvery(CONTENDED_LOADS_INTERVAL_MILLIS, this::exchangeLoads);
        scheduleEvery(RENEW_INTERVAL_MILLIS, heldGrants::renewAll);
        scheduleEvery(QUARANTINE_INTERVAL_MILLIS, this::expireQuarantine);
    }

    @Override
    public void stop() {
        timer.shutdownNow();
        batches.take(Set.of()).forEach(this::send);
        senders.shutdownNow();
    }

    private void refresh() {
        stewards.refresh();
        stewards.observeOtherStewards();
    }

    private void expire() {
        for (StewardedEngine engine : stewards.all()) {
            int expired = engine.steward().expire();
            if (expired > 0) {
                metrics.recordExpired(expired);
                events.record(
                        EventType.GRANT_EXPIRED,
                        EventSubject.endpoint(engine.endpoint().id()),
                        expired + " grants expired");
            }
        }
    }

    private void expireQuarantine() {
        int lifted = quarantine.expire();
        if (lifted > 0) {
            events.record(EventType.QUARANTINE_LIFTED, EventSubject.NONE, lifted + " fingerprints");
        }
    }

    /** Sends each batch on a separate thread so that an unresponsive daemon does not delay the others. */
    private void flush() {
        for (UpdateBatches.Batch batch : batches.take(Set.copyOf(busyRecipients))) {
            busyRecipients.add(batch.recipient().daemonId());
            senders.execute(() -> {
                try {
                    send(batch);
                } finally {
                    busyRecipients.remove(batch.recipient().daemonId());
                }
            });
        }
    }

    private void send(UpdateBatches.Batch batch) {
        try {
            GrantUpdateReply reply = peers.updateGrants(
                    OwnershipView.address(batch.recipient()), batch.toMessage(), CALL_TIMEOUT_MILLIS);
            heldGrants
                    .find(reply.getUnknown())
                    .forEach(entry -> adopt(batch.recipient(), entry.getKey(), entry.getValue()));
        } catch (PeerException e) {
            LOG.debug("grant update to {} failed: {}", batch.recipient().daemonId(), e.getMessage());
            batches.putBack(batch);
        }
    }

    private void adopt(Member steward, long key, HeldGrant grant) {
        GrantRequest request =
                GrantCodec.toWire(grant.request(), grant.endpoint().id(), grant.serviceName(), 0, hybridClock.now());
        request.setAdopted(true);
        try {
            SlotDecision decision = GrantCodec.fromWire(
                    peers.acquireGrant(OwnershipView.address(steward), request, CALL_TIMEOUT_MILLIS));
            if (decision.isGranted()) {
                heldGrants.replace(key, grant, decision);
            }
        } catch (PeerException | WireException e) {
            LOG.debug("grant not adopted by steward {}: {}", steward.daemonId(), e.getMessage());
        }
    }

    private void exchangeLoads() {
        Map<String, List<StewardedEngine>> byPool = new HashMap<>();
        for (StewardedEngine engine : stewards.all()) {
            byPool.computeIfAbsent(engine.endpoint().pool(), pool -> new ArrayList<>())
                    .add(engine);
        }
        long now = clock.millis();
        byPool.forEach((pool, engines) -> {
            boolean contended =
                    engines.stream().anyMatch(engine -> engine.steward().isQueueHeldByBound());
            if (contended || now - lastExchangeMillis.getOrDefault(pool, 0L) >= LOADS_INTERVAL_MILLIS) {
                lastExchangeMillis.put(pool, now);
                exchangeLoads(pool, engines);
                engines.forEach(engine -> engine.steward().expire());
            }
        });
    }

    private void exchangeLoads(String pool, List<StewardedEngine> engines) {
        PoolState poolState = engines.get(0).pool();
        Set<String> ids = new HashSet<>();
        List<EngineLoad> loads = new ArrayList<>();
        for (StewardedEngine engine : engines) {
            EndpointLoad load = engine.steward().load();
            poolState.loads().accept(load);
            ids.add(load.endpointId());
            loads.add(new EngineLoad(load.endpointId(), load.epoch(), load.version(), load.inFlight(), load.closed()));
        }
        Optional<Member> owner = view.poolOwner(pool);
        if (owner.isEmpty() || view.isSelf(owner.get())) {
            return;
        }
        try {
            LoadSum sum = peers.stateLoads(
                    OwnershipView.address(owner.get()), new LoadStatement(pool, loads), CALL_TIMEOUT_MILLIS);
            poolState.loads().acceptRemoteLoad(sum.getInFlight(), sum.getCapacity(), ids);
        } catch (PeerException e) {
            LOG.debug("loads of pool {} not exchanged at {}: {}", pool, clock.instant(), e.getMessage());
        }
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "grants");
        thread.setDaemon(true);
        return thread;
    }

    private void scheduleEvery(long millis, Runnable task) {
        Future<?> scheduled = timer.scheduleWithFixedDelay(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.error("background task of grants failed", e);
                    }
                },
                0,
                millis,
                TimeUnit.MILLISECONDS);
        LOG.trace("scheduled {}", scheduled);
    }
}
