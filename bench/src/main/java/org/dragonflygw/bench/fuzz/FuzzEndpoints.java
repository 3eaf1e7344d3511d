package org.dragonflygw.bench.fuzz;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dragonflygw.bench.history.HistoryEvent.Leaving;
import org.dragonflygw.bench.history.HistoryRecorder;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.GrantAge;
import org.dragonflygw.core.routing.LoadBound;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.core.routing.SlotStatus;
import org.dragonflygw.core.routing.StewardSettings;

/** The simulated endpoints, each with a production {@link EngineSteward} that grants its slots. Not thread-safe. */
final class FuzzEndpoints {
    private static final int SLOTS = 4;
    private static final int QUEUE_LENGTH = 8;
    private static final long EXPIRY_INTERVAL_MILLIS = 500;
    private static final long LEAVE_NOTICE_MILLIS = 1_000;
    private static final long MAX_WAIT_MILLIS = 2_000;

    private final VirtualTime time;
    private final HistoryRecorder history;
    private final List<FuzzEndpoint> endpoints = new ArrayList<>();
    private final Map<String, EngineSteward> stewards = new LinkedHashMap<>();
    private int nextEndpoint;

    FuzzEndpoints(int count, VirtualTime time, HistoryRecorder history, FaultCounts counts) {
        this.time = time;
        this.history = history;
        for (int i = 0; i < count; i++) {
            FuzzEndpoint endpoint = new FuzzEndpoint("e" + i, time, history, counts);
            endpoints.add(endpoint);
            stewards.put(
                    endpoint.id(),
                    new EngineSteward(
                            endpoint.id(), 1, StewardSettings.of(SLOTS, QUEUE_LENGTH), LoadBound.NONE, 0, time));
        }
        time.schedule(EXPIRY_INTERVAL_MILLIS, this::expire);
    }

    FuzzEndpoint get(int index) {
        return endpoints.get(index);
    }

    long nanos() {
        return time.nanos();
    }

    /**
     * Acquires a slot on the first endpoint that grants one, in round-robin order without the excluded endpoints. The
     * consumer receives an empty value if every endpoint refuses.
     */
    void acquire(FuzzRequest request, Set<String> excluded, Consumer<Optional<FuzzSlot>> consumer) {
        List<FuzzEndpoint> candidates = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            FuzzEndpoint endpoint = endpoints.get((nextEndpoint + i) % endpoints.size());
            if (!excluded.contains(endpoint.id())) {
                candidates.add(endpoint);
            }
        }
        nextEndpoint++;
        tryAcquire(request, candidates, 0, consumer);
    }

    /** Records that the endpoint starts to drain; the steward is notified {@value #LEAVE_NOTICE_MILLIS} ms later. */
    void leave(int index) {
        FuzzEndpoint endpoint = endpoints.get(index);
        history.record(new Leaving(endpoint.id()));
        time.schedule(LEAVE_NOTICE_MILLIS, stewards.get(endpoint.id())::leave);
    }

    private void tryAcquire(
            FuzzRequest request, List<FuzzEndpoint> candidates, int index, Consumer<Optional<FuzzSlot>> consumer) {
        if (index == candidates.size()) {
            consumer.accept(Optional.empty());
            return;
        }
        FuzzEndpoint endpoint = candidates.get(index);
        EngineSteward steward = stewards.get(endpoint.id());
        long askedNanos = time.nanos();
        steward.acquire(slotRequest(request, index == candidates.size() - 1), decision -> {
            if (decision.status() == SlotStatus.GRANTED) {
                GrantAge age = new GrantAge(askedNanos, decision.queuedMillis());
                consumer.accept(Optional.of(new FuzzSlot(endpoint, steward, decision, age)));
            } else {
                tryAcquire(request, candidates, index + 1, consumer);
            }
        });
    }

    private static SlotRequest slotRequest(FuzzRequest request, boolean lastResort) {
        RequestContext context = request.context();
        long remainingMillis =
                context.deadline().toEpochMilli() - request.daemon().clock().millis();
        return new SlotRequest(
                request.id(),
                context.team().name(),
                context.team().weight(),
                0,
                context.prefixFingerprint(),
                context.fingerprint(),
                remainingMillis,
                MAX_WAIT_MILLIS,
                false,
                false,
                lastResort);
    }

    private void expire() {
        stewards.values().forEach(EngineSteward::expire);
        time.schedule(EXPIRY_INTERVAL_MILLIS, this::expire);
    }
}
