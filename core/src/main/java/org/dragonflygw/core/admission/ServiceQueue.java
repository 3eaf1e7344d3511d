package org.dragonflygw.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.dragonflygw.core.catalog.CatalogService;

/**
 * The requests of this host that wait for room at one service, with what is known of the rate at which room comes. A
 * queue is idle until an endpoint search finds all endpoints at capacity. Not thread-safe.
 */
final class ServiceQueue {
    /** Interval at which waiting requests are looked at, in nanoseconds; short against the objectives of routes. */
    static final long CHECK_NANOS = 50_000_000L;

    /** Number of waiting requests for which an endpoint is searched in vain at one time. */
    private static final int MAX_VAIN_LOOKS = 3;

    /** Time for which a service counts as short of room after the last sign of it, in times that a report needs. */
    private static final long SHORT_REPORT_AGES = 2;

    /** Share of the capacity that must be free for the service not to be short of room any more. */
    private static final double AMPLE_FREE_SHARE = 0.05;

    /** Multiple of the remaining time beyond which a harmless wait is useless; room comes at random times. */
    private static final double HOPELESS_MULTIPLE = 4;

    /** Load at which nothing is sent, as a multiple of the capacity; late reports count ended requests for a while. */
    private static final double OVERBOOKING = 1.1;

    /** Multiple of the mean duration without a served request after which none of those under way is expected to end. */
    private static final double STUCK_MULTIPLE = 3;

    private static final double MIN_STUCK_NANOS = 1e9;

    private static final double NANOS_PER_S = 1e9;
    private static final double DURATION_SMOOTHING = 0.1;

    private final RoomView view;
    private final FleetShare fleet;
    private final RoomQuota quota;
    private final ServedShares shares = new ServedShares();
    private final EventRate ends = new EventRate();
    private final EventRate taken = new EventRate();
    private final Map<Integer, EventRate> askedByPriority = new TreeMap<>();
    private final WaitSuccess success = new WaitSuccess();
    private final List<Wait> waits = new ArrayList<>();
    private CatalogService service;
    private double meanNanos;
    private long lastServedNanos;
    private boolean wasShort;
    private long shortUntilNanos;
    private long nextCheckNanos;
    private boolean slotFreed;

    /** The wait whose timer causes the regular checks. */
    private Wait driver;

    ServiceQueue(CatalogService service, RoomView view, FleetShare fleet, RandomGenerator random) {
        this.service = service;
        this.view = view;
        this.fleet = fleet;
        this.quota = new RoomQuota(random);
    }

    /** Receives the ends of waits. */
    interface Listener {
        void onServed(Wait wait, int place, long nowNanos);

        void onUnservable(Wait wait, int place, long nowNanos);

        void onHopeless(Wait wait, int place, long nowNanos);
    }

    int size() {
        return waits.size();
    }

    List<Wait> waits() {
        return List.copyOf(waits);
    }

    ServedShares shares() {
        return shares;
    }

    /** Records how long an endpoint took for a request of this host. */
    void onServed(long durationNanos, long nowNanos) {
        ends.onEvent(nowNanos);
        lastServedNanos = nowNanos;
        meanNanos = meanNanos == 0 ? durationNanos : meanNanos + DURATION_SMOOTHING * (durationNanos - meanNanos);
    }

    /** Records that a request of this host at an endpoint ended in any way. */
    void onSlotFreed(long nowNanos) {
        if (wasShort) {
            quota.onOwnSlotFreed();
        }
        if (driver != null) {
            slotFreed = true;
            driver.waiter().wakeAt(nowNanos);
        }
    }

    /** Returns whether new requests must pass this queue, although an endpoint seems to have room. */
    boolean isShort(long nowNanos) {
        if (!waits.isEmpty()) {
            return true;
        }
        if (!wasShort) {
            return false;
        }
        Room room = view.of(service, nowNanos);
        wasShort = nowNanos < shortUntilNanos && room.free() < AMPLE_FREE_SHARE * room.capacity();
        return wasShort;
    }

    /** Records that no endpoint has room. */
    private void onShort(long nowNanos) {
        if (!wasShort) {
            wasShort = true;
            taken.startAt(Math.max(ends.perSecond(nowNanos), ownPerSecond(nowNanos)), nowNanos);
            quota.restart(view.of(service, nowNanos), nowNanos);
        }
        shortUntilNanos = nowNanos + SHORT_REPORT_AGES * fleet.reportAgeNanos();
    }

    /** Adds a request; returns the wait that had to leave because of the bound, which may be the new one. */
    Wait add(Wait wait, int maxWaits, long nowNanos) {
        service = wait.request().service();
        if (!isShort(nowNanos)) {
            onShort(nowNanos);
        }
        shares.onAsked(wait.request(), nowNanos);
        askedByPriority
                .computeIfAbsent(wait.request().priority(), p -> new EventRate())
                .onEvent(nowNanos);
        waits.add(wait);
        if (waits.size() <= maxWaits) {
            return null;
        }
        List<WaitOrder.Place> order = WaitOrder.of(waits, shares, nowNanos);
        Wait last = order.get(order.size() - 1).waiting();
        remove(last);
        return last;
    }

    void remove(Wait wait) {
        wait.end();
        waits.remove(wait);
        if (driver == wait) {
            driver = null;
        }
    }

    /** Makes sure that the timer of a wait causes the next check. */
    void keepChecking(long nowNanos) {
        if (driver == null && !waits.isEmpty()) {
            driver = waits.get(0);
            driver.waiter().wakeAt(Math.max(nowNanos, nextCheckNanos));
        }
    }

    /** Returns when the timer of a wait must fire next. */
    long wakeNanos(Wait wait) {
        return wait == driver ? Math.min(nextCheckNanos, wait.decisionNanos()) : wait.decisionNanos();
    }

    /**
     * Serves those waits for which there is room and, at regular times, ends those for which none can be expected in time.
     *
     * @param wait the wait whose timer fired
     */
    void check(Wait wait, long nowNanos, long nowWallMs, Listener listener) {
        boolean due = nowNanos >= nextCheckNanos || wait.isDecisionDue(nowNanos);
        if (due || slotFreed) {
            serve(nowNanos, listener);
        }
        if (due) {
            nextCheckNanos = nowNanos + CHECK_NANOS;
            endHopeless(nowNanos, nowWallMs, listener);
        }
        keepChecking(nowNanos);
    }

    /** Serves as {@link #check} does, and ends only a wait that has just begun if no room can be expected in time. */
    void checkNew(Wait wait, long nowNanos, long nowWallMs, Listener listener) {
        serve(nowNanos, listener);
        if (wait.hasEnded()) {
            return;
        }
        int number = 1;
        for (WaitOrder.Place p : WaitOrder.of(waits, shares, nowNanos)) {
            if (p.waiting() == wait) {
                endIfHopeless(p, number, nowNanos, nowWallMs, listener);
                break;
            }
            number++;
        }
        keepChecking(nowNanos);
    }

    private void endHopeless(long nowNanos, long nowWallMs, Listener listener) {
        int number = 1;
        for (WaitOrder.Place p : WaitOrder.of(waits, shares, nowNanos)) {
            if (!p.waiting().hasEnded() && !endIfHopeless(p, number, nowNanos, nowWallMs, listener)) {
                number++;
            }
        }
    }

    private boolean endIfHopeless(WaitOrder.Place p, int number, long nowNanos, long nowWallMs, Listener listener) {
        Wait w = p.waiting();
        if (!isHopeless(w, p, number, nowNanos, nowWallMs)) {
            return false;
        }
        remove(w);
        recordLongWait(w, false, nowNanos);
        listener.onHopeless(w, number, nowNanos);
        return true;
    }

    private void serve(long nowNanos, Listener listener) {
        slotFreed = false;
        quota.update(view.of(service, nowNanos), fleet, nowNanos);
        Looks looks = new Looks();
        boolean more = true;
        while (more && !waits.isEmpty()) {
            more = serveNext(looks, nowNanos, listener);
        }
        if (looks.vain > 0 && !looks.found) {
            onShort(nowNanos);
            quota.clear();
        }
    }

    /** Serves the first wait that an endpoint has room for; returns whether another one may follow. */
    private boolean serveNext(Looks looks, long nowNanos, Listener listener) {
        int place = 0;
        for (WaitOrder.Place p : WaitOrder.of(waits, shares, nowNanos)) {
            place++;
            Wait w = p.waiting();
            if (!looks.mayHelp(w)) {
                continue;
            }
            switch (w.waiter().look(nowNanos)) {
                case ROOM -> {
                    looks.found = true;
                    return serveIfAllowed(w, place, nowNanos, listener);
                }
                case UNSERVABLE -> {
                    remove(w);
                    listener.onUnservable(w, place, nowNanos);
                    return true;
                }
                case BUSY -> {
                    looks.onVain(w);
                    if (looks.vain >= MAX_VAIN_LOOKS
                            || (p.starving() && !w.request().constrained())) {
                        return false;
                    }
                }
            }
        }
        return false;
    }

    private boolean serveIfAllowed(Wait w, int place, long nowNanos, Listener listener) {
        Room room = view.of(service, nowNanos);
        if (!quota.mayTake() || room.load() >= room.capacity() * OVERBOOKING) {
            shortUntilNanos = nowNanos + SHORT_REPORT_AGES * fleet.reportAgeNanos();
            return false;
        }
        quota.take();
        remove(w);
        shares.onServed(w.request(), nowNanos);
        taken.onEvent(nowNanos);
        recordLongWait(w, true, nowNanos);
        listener.onServed(w, place, nowNanos);
        return true;
    }

    private void recordLongWait(Wait w, boolean served, long nowNanos) {
        if (nowNanos > WaitLimits.harmlessUntilNanos(w.request())) {
            success.onEnded(w.request(), served, nowNanos);
        }
    }

    private boolean isHopeless(Wait w, WaitOrder.Place p, int number, long nowNanos, long nowWallMs) {
        long remaining = w.remainingNanos(nowNanos, nowWallMs);
        if (remaining <= 0) {
            return true;
        }
        double expected = expectedNanos(p, number, nowNanos);
        boolean harmless = nowNanos < WaitLimits.harmlessUntilNanos(w.request());
        return harmless
                ? expected > HOPELESS_MULTIPLE * remaining
                : expected > remaining || !success.isWorthwhile(w.request(), nowNanos);
    }

    /**
     * Returns the expected time until a request gets room; infinite if none is expected. More urgent requests that arrive
     * meanwhile go first, unless the request's group starves.
     */
    private double expectedNanos(WaitOrder.Place p, int number, long nowNanos) {
        double perSecond = taken.perSecond(nowNanos);
        if (!p.starving()) {
            perSecond -= moreUrgentPerSecond(p.waiting().request().priority(), nowNanos);
        }
        return perSecond > 0 ? number / perSecond * NANOS_PER_S : Double.POSITIVE_INFINITY;
    }

    private double moreUrgentPerSecond(int priority, long nowNanos) {
        double sum = 0;
        for (Map.Entry<Integer, EventRate> e : askedByPriority.entrySet()) {
            sum += e.getKey() < priority ? e.getValue().perSecond(nowNanos) : 0;
        }
        return sum;
    }

    private double ownPerSecond(long nowNanos) {
        boolean stuck = nowNanos - lastServedNanos > Math.max(MIN_STUCK_NANOS, STUCK_MULTIPLE * meanNanos);
        return meanNanos > 0 && !stuck ? view.of(service, nowNanos).own() / meanNanos * NANOS_PER_S : 0;
    }

    /** Returns the expected time until all that wait got room and one more would, in nanoseconds; infinite if unknown. */
    double expectedNanos(long nowNanos) {
        double perSecond = taken.perSecond(nowNanos);
        return perSecond > 0 ? (waits.size() + 1) / perSecond * NANOS_PER_S : Double.POSITIVE_INFINITY;
    }

    /** Drops what was learned about the current room, which is out of date. */
    void forgetRoom() {
        quota.clear();
        ends.clear();
        taken.clear();
    }

    /** The searches of one check. */
    private static final class Looks {
        private int vain;
        private boolean found;
        private int smallestTokens = Integer.MAX_VALUE;
        private final List<Wait> busy = new ArrayList<>();

        void onVain(Wait w) {
            vain++;
            busy.add(w);
            if (!w.request().constrained()) {
                smallestTokens = Math.min(smallestTokens, w.request().promptTokens());
            }
        }

        /** Whether an endpoint may have room for a wait: smaller prompts may fit where larger ones do not. */
        boolean mayHelp(Wait w) {
            return !busy.contains(w) && w.request().promptTokens() < smallestTokens;
        }
    }
}
