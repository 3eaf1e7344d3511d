package org.dragonflygw.core.admission;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.log.EventLog;

/**
 * Lets requests that find all endpoints of their service at capacity wait for a bounded time, in a queue for each service
 * of this host, as long as a response can still be useful. The most urgent one gets the next slot; what cannot be served
 * in time is refused at once. A waiting request has not been sent. Not thread-safe.
 */
public final class Admission {
    /** Largest number of requests that wait for one service. */
    private static final int MAX_WAITS_PER_SERVICE = 64;

    /** Largest number of requests that wait on this host. */
    private static final int MAX_WAITS = 192;

    /** Largest number of routes and of services whose times are kept. */
    private static final int MAX_NAMES = 1_024;

    /** Longest further wait once this process stops, in nanoseconds; short against the time until it is killed. */
    private static final long STOP_WAIT_NANOS = 250_000_000L;

    /** Longest time that a refusal states as expected, in milliseconds; estimates of a longer one are worth nothing. */
    private static final double MAX_EXPECTED_MS = 10_000;

    private static final double NANOS_PER_MS = 1e6;

    private final BooleanSupplier enabled;
    private final RoomView view;
    private final FleetShare fleet;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final SuspensionDetector suspensions;
    private final WaitLog log;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, RouteTimes> routes = new LinkedHashMap<>();
    private final RefusedRequests refused = new RefusedRequests();
    private final WaitCounts counts = new WaitCounts();
    private final Ends ends = new Ends();
    private boolean stopping;

    /**
     * Creates an admission without waiting requests.
     *
     * @param enabled whether requests may wait on this deployment
     * @param view sums up the room at endpoints
     * @param fleet this host's share of the room
     * @param random source of the rounding of shares
     */
    public Admission(
            BooleanSupplier enabled,
            RoomView view,
            FleetShare fleet,
            RandomGenerator random,
            EventLog log,
            MonotonicClock clock,
            InstantSource wallClock) {
        this.enabled = enabled;
        this.view = view;
        this.fleet = fleet;
        this.random = random;
        this.clock = clock;
        this.wallClock = wallClock;
        this.suspensions = new SuspensionDetector(clock, wallClock);
        this.log = new WaitLog(log);
    }

    /** Returns whether requests that find no room may wait. */
    public boolean isEnabled() {
        return enabled.getAsBoolean();
    }

    /** Returns whether a service was short of room a moment ago, so that also requests that find an endpoint must {@link #join}. */
    public boolean isShort(String service) {
        ServiceQueue queue = queues.get(service);
        return queue != null && queue.isShort(clock.nanos());
    }

    /**
     * Records that a request of this host ended at an endpoint, which freed its slot.
     *
     * @param firstPartNanos time until the response began; 0 if it did not
     * @param totalNanos time until the request ended
     */
    public void onEnded(CatalogService service, String route, long firstPartNanos, long totalNanos) {
        if (!isEnabled() || queues.size() >= MAX_NAMES) {
            return;
        }
        long now = clock.nanos();
        ServiceQueue queue = queue(service);
        if (firstPartNanos > 0) {
            times(route).onServed(firstPartNanos / NANOS_PER_MS, totalNanos / NANOS_PER_MS);
            queue.onServed(totalNanos, now);
        }
        queue.onSlotFreed(now);
    }

    /**
     * Lets a request wait for room. Before the method returns, the request may already be served or refused.
     *
     * @return the wait if the request is still waiting
     */
    public Optional<Wait> join(WaitRequest request, Waiter waiter) {
        dropOutdatedRoom();
        long now = clock.nanos();
        RouteTimes times = times(request.route());
        boolean shortDeadline = times.isShortDeadline(request.deadlineMs());
        boolean repeat = refused.remove(request.fingerprint(), now) || shortDeadline;
        long limit = WaitLimits.limitNanos(request, times.firstPartMs(), times.totalMs());
        ServiceQueue queue = queue(request.service());
        Wait wait = new Wait(request, waiter, queue, repeat, now, wallClock.millis(), limit);
        if (stopping) {
            wait.endBy(now + STOP_WAIT_NANOS);
        }
        int most = Math.min(MAX_WAITS_PER_SERVICE, MAX_WAITS - waitingCount() + queue.size());
        Wait superfluous = queue.add(wait, most, now);
        if (superfluous != null) {
            ends.onFull(superfluous, now);
        }
        if (!wait.hasEnded()) {
            queue.checkNew(wait, now, wallClock.millis(), ends);
        }
        if (wait.hasEnded()) {
            return Optional.empty();
        }
        counts.onStarted();
        log.started(wait, queue.size(), queue.expectedNanos(now), now);
        waiter.wakeAt(queue.wakeNanos(wait));
        return Optional.of(wait);
    }

    /** Called at the time that was requested through {@link Waiter#wakeAt}, or earlier. */
    public void onWake(Wait wait) {
        if (wait.hasEnded()) {
            return;
        }
        dropOutdatedRoom();
        long now = clock.nanos();
        ServiceQueue queue = wait.queue();
        queue.check(wait, now, wallClock.millis(), ends);
        if (!wait.hasEnded()) {
            wait.waiter().wakeAt(queue.wakeNanos(wait));
        }
    }

    /** Ends the wait of a request whose caller has left. */
    public void leave(Wait wait) {
        if (wait.hasEnded()) {
            return;
        }
        long now = clock.nanos();
        wait.queue().remove(wait);
        wait.queue().keepChecking(now);
        counts.onLeft();
        log.ended(wait, "left", 0, wait.waitedNanos(now, wallClock.millis()));
    }

    /** Called when this process begins to stop: what waits is served or refused within a fraction of a second. */
    public void beginStop() {
        stopping = true;
        long now = clock.nanos();
        for (ServiceQueue queue : queues.values()) {
            for (Wait w : queue.waits()) {
                w.endBy(now + STOP_WAIT_NANOS);
                w.waiter().wakeAt(queue.wakeNanos(w));
            }
        }
    }

    /** Returns the number of requests that wait now. */
    public int waitingCount() {
        int sum = 0;
        for (ServiceQueue queue : queues.values()) {
            sum += queue.size();
        }
        return sum;
    }

    /** Returns how waits ended so far. */
    public WaitCounts counts() {
        return counts;
    }

    private void dropOutdatedRoom() {
        if (suspensions.wasSuspended()) {
            queues.values().forEach(ServiceQueue::forgetRoom);
        }
    }

    private ServiceQueue queue(CatalogService service) {
        return queues.computeIfAbsent(service.name(), n -> new ServiceQueue(service, view, fleet, random));
    }

    private RouteTimes times(String route) {
        RouteTimes known = routes.get(route);
        if (known != null) {
            return known;
        }
        if (routes.size() >= MAX_NAMES) {
            routes.remove(routes.keySet().iterator().next());
        }
        RouteTimes times = new RouteTimes();
        routes.put(route, times);
        return times;
    }

    private final class Ends implements ServiceQueue.Listener {
        @Override
        public void onServed(Wait wait, int place, long now) {
            counts.onServed();
            log.ended(wait, "served", place, waited(wait, now));
            wait.waiter().proceed();
        }

        @Override
        public void onUnservable(Wait wait, int place, long now) {
            counts.onRefused();
            log.ended(wait, "unservable", place, waited(wait, now));
            wait.waiter().proceed();
        }

        @Override
        public void onHopeless(Wait wait, int place, long now) {
            refuse(wait, "no room in time", place, now);
        }

        void onFull(Wait wait, long now) {
            refuse(wait, "queue full", wait.queue().size() + 1, now);
        }

        private void refuse(Wait wait, String reason, int place, long now) {
            counts.onRefused();
            refused.add(wait.request().fingerprint(), now);
            log.ended(wait, reason, place, waited(wait, now));
            double expected = wait.queue().expectedNanos(now) / NANOS_PER_MS;
            wait.waiter().refuse(Double.isInfinite(expected) ? 0 : (long) Math.min(MAX_EXPECTED_MS, expected));
        }

        private long waited(Wait wait, long now) {
            return wait.waitedNanos(now, wallClock.millis());
        }
    }
}
