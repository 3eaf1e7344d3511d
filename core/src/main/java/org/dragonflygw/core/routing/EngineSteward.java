package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dragonflygw.core.limits.FairQueue;
import org.dragonflygw.core.limits.TeamShares;

/**
 * Hands out the slots of one engine. It knows its own grants exactly, adds what the engine's report shows above them,
 * and keeps the sum within the engine's limit and the load bound of the service. Waiting requests are served by team
 * weight. Grants are leased, and fenced by the epoch: renewals and ends of another epoch change nothing.
 *
 * <p>Lock order: the monitor of a steward, then that of its load bound. Answers are delivered without any lock held.
 */
public final class EngineSteward {
    private static final int MAX_SUSPECTS = 8;
    private static final int SPILL_MEMORY_CHATS = 4_096;
    private static final Duration SPILL_KEEP = Duration.ofMinutes(30);
    private static final double DURATION_SMOOTHING = 0.05;

    private final String endpointId;
    private final long epoch;
    private StewardSettings settings;
    private LoadBound bound;
    private final InstantSource clock;

    private final Map<Long, Grant> grants = new HashMap<>();
    private final FairQueue<Waiter> queue;
    private final ArrayDeque<Waiter> waitingSuspects = new ArrayDeque<>();
    private final TeamShares shares = new TeamShares();
    private final ForeignLoad foreign;
    private final EngineHealth health = new EngineHealth();
    private final SpillMemory spills = new SpillMemory(SPILL_MEMORY_CHATS, SPILL_KEEP);
    private long nextGrantId = 1;
    private long statementEpoch;
    private long version;
    private double durationMillis;
    private final Map<Long, Integer> fingerprints = new HashMap<>();
    private int suspects;
    private boolean leaving;
    private boolean closed;

    /**
     * Takes over an engine.
     *
     * @param endpointId engine
     * @param epoch epoch of this steward, higher than that of every earlier one
     * @param settings limits and times
     * @param bound load bound of the service
     * @param inheritedLoad load that an earlier steward last stated
     * @param clock time
     */
    public EngineSteward(
            String endpointId,
            long epoch,
            StewardSettings settings,
            LoadBound bound,
            int inheritedLoad,
            InstantSource clock) {
        this.endpointId = endpointId;
        this.epoch = epoch;
        this.statementEpoch = epoch;
        this.settings = settings;
        this.bound = bound;
        this.clock = clock;
        this.queue = new FairQueue<>(settings.maxQueue());
        this.foreign = new ForeignLoad(clock.instant(), Duration.ofMillis(settings.graceMillis()), inheritedLoad);
        this.durationMillis = settings.expectedDurationMillis();
    }

    /** Id of the engine. */
    public String endpointId() {
        return endpointId;
    }

    /** Epoch of this steward. */
    public long epoch() {
        return epoch;
    }

    /** Changes limits and bound; grants above them stay. */
    public synchronized void reconfigure(StewardSettings newSettings, LoadBound newBound) {
        settings = newSettings;
        bound = newBound;
        queue.setMaxItems(newSettings.maxQueue());
    }

    /** Asks for a slot. The listener is called exactly once, at once or when the request leaves the queue. */
    public void acquire(SlotRequest request, Consumer<SlotDecision> listener) {
        Outbox outbox = new Outbox();
        synchronized (this) {
            admit(new Waiter(request, listener, clock.instant()), outbox);
        }
        outbox.deliver();
    }

    /**
     * Counts a request that runs under a grant of an earlier steward, whatever the bound.
     *
     * @return the new grant
     */
    public synchronized SlotDecision adopt(SlotRequest request) {
        Instant now = clock.instant();
        shares.touch(request.team(), request.teamWeight(), now);
        return grant(request, now, now);
    }

    /**
     * Renews a grant.
     *
     * @return false when the grant is unknown or of another epoch
     */
    public synchronized boolean renew(long grantId, long grantEpoch) {
        Grant grant = grantEpoch == epoch ? grants.get(grantId) : null;
        if (grant == null) {
            return false;
        }
        grants.put(grantId, grant.renewed(clock.instant().plusMillis(settings.leaseMillis())));
        return true;
    }

    /**
     * Ends a grant. Repeated ends change nothing.
     *
     * @return what became of the grant and the engine
     */
    public EndResult end(long grantId, long grantEpoch, AttemptOutcome outcome) {
        Outbox outbox = new Outbox();
        EndResult result;
        synchronized (this) {
            Grant grant = grantEpoch == epoch ? grants.remove(grantId) : null;
            if (grant == null) {
                return EndResult.UNKNOWN;
            }
            Instant now = clock.instant();
            dropped(grant, now);
            if (outcome == AttemptOutcome.COMPLETED) {
                double millis = Duration.between(grant.since(), now).toMillis();
                durationMillis += DURATION_SMOOTHING * (millis - durationMillis);
                shares.completed(grant.team(), millis);
            }
            result = health.onEnd(outcome, now) ? EndResult.ENDED_AND_SUSPENDED : EndResult.ENDED;
            if (result == EndResult.ENDED_AND_SUSPENDED) {
                refuseAll(SlotStatus.UNAVAILABLE, outbox);
            }
            pump(now, outbox);
        }
        outbox.deliver();
        return result;
    }

    /** Notes that a chat whose first engine this is went to another one. */
    public synchronized void noteSpill(long chatHash, String toEndpointId) {
        if (toEndpointId.equals(endpointId)) {
            spills.remove(chatHash);
            return;
        }
        spills.put(chatHash, toEndpointId, clock.instant());
    }

    /** Takes a lagging load report of the engine. */
    public void onReport(int inFlight, boolean engineLeaving) {
        Outbox outbox = new Outbox();
        synchronized (this) {
            Instant now = clock.instant();
            foreign.onReport(inFlight, grants.size(), now);
            if (engineLeaving && !leaving) {
                startLeaving(outbox);
            }
            pump(now, outbox);
        }
        outbox.deliver();
    }

    /** Stops granting for good; waiting requests are refused at once. */
    public void leave() {
        Outbox outbox = new Outbox();
        synchronized (this) {
            startLeaving(outbox);
        }
        outbox.deliver();
    }

    /** Ends the stewardship; waiting requests are told to ask the new steward. */
    public void close() {
        Outbox outbox = new Outbox();
        synchronized (this) {
            closed = true;
            refuseAll(SlotStatus.NOT_STEWARD, outbox);
        }
        outbox.deliver();
    }

    /** Expires leases and waits that are over, and serves the queue with the current bound. */
    public int expire() {
        Outbox outbox = new Outbox();
        int expired;
        synchronized (this) {
            Instant now = clock.instant();
            List<Long> lapsed = new ArrayList<>();
            grants.forEach((id, grant) -> {
                if (!grant.expiry().isAfter(now)) {
                    lapsed.add(id);
                }
            });
            lapsed.forEach(id -> dropped(grants.remove(id), now));
            expired = lapsed.size();
            pump(now, outbox);
            refuseOverdue(now, outbox);
            shares.forgetIdle(now);
        }
        outbox.deliver();
        return expired;
    }

    /** Load now, to be spread to the other daemons. */
    public synchronized EndpointLoad load() {
        Instant now = clock.instant();
        int wait = (int) Math.min(Integer.MAX_VALUE, waitMillis(queue.size()));
        boolean closedToWork = leaving || health.isProbing() || health.isSuspended(now);
        return new EndpointLoad(
                endpointId, statementEpoch, ++version, inFlight(now), queue.size(), closedToWork, wait, now);
    }

    /**
     * Notes a statement about this engine by another daemon: an earlier steward, or a second one. This steward's own
     * statements go before it from now on, and free slots are handed out with care for a while.
     */
    public synchronized void onOtherSteward(EndpointLoad statement) {
        if (statement.epoch() > statementEpoch) {
            statementEpoch = statement.epoch() + 1;
            foreign.startGrace(clock.instant(), Duration.ofMillis(settings.graceMillis()));
        }
    }

    /** Whether requests wait although the engine has free slots; then a newer mean of the service would help. */
    public synchronized boolean awaitsMean() {
        return queue.size() > 0 && isHeldByBound(clock.instant());
    }

    /** Number of own grants. */
    public synchronized int ownGrants() {
        return grants.size();
    }

    /** Number of slots that a team holds. */
    public synchronized int slots(String team) {
        return shares.slots(team);
    }

    private void admit(Waiter waiter, Outbox outbox) {
        SlotRequest request = waiter.request();
        Instant now = waiter.since();
        if (closed) {
            outbox.add(waiter, refusal(SlotStatus.NOT_STEWARD, 0, now));
            return;
        }
        if (leaving || health.isSuspended(now)) {
            outbox.add(waiter, refusal(SlotStatus.UNAVAILABLE, health.suspendedMillis(now), now));
            return;
        }
        Optional<String> spilledTo = request.followRedirect() ? spills.find(request.chatHash(), now) : Optional.empty();
        if (spilledTo.isPresent()) {
            outbox.add(
                    waiter,
                    new SlotDecision(
                            SlotStatus.REDIRECTED, 0, epoch, 0, 0, 0, spilledTo.get(), inFlight(now), false, false));
            return;
        }
        if (request.suspect() && suspects > 0) {
            awaitSuspect(waiter, now, outbox);
            return;
        }
        shares.touch(request.team(), request.teamWeight(), now);
        if (queue.size(request.team()) == 0 && hasSlot(request.team(), now)) {
            queue.servedAtOnce(request.team(), request.teamWeight());
            outbox.add(waiter, grant(request, now, now));
            return;
        }
        enqueue(waiter, now, outbox);
    }

    private void enqueue(Waiter waiter, Instant now, Outbox outbox) {
        SlotRequest request = waiter.request();
        if (health.isProbing()) {
            outbox.add(waiter, refusal(SlotStatus.UNAVAILABLE, (long) durationMillis, now));
            return;
        }
        long wait = waitMillis(queue.position(request.team(), request.teamWeight()));
        boolean waitsForMean = request.lastResort() && isHeldByBound(now);
        double shortest = shares.expectedMillis(request.team(), 0) / 2;
        if (!waitsForMean && wait + shortest > request.remainingMillis()) {
            outbox.add(
                    waiter, refusal(SlotStatus.DEADLINE, wait, now).withNotes(isInFlight(request), isHeldByBound(now)));
            return;
        }
        if (!waitsForMean && wait > request.maxWaitMillis()) {
            outbox.add(
                    waiter,
                    refusal(SlotStatus.OVERLOADED, wait, now).withNotes(isInFlight(request), isHeldByBound(now)));
            return;
        }
        Optional<Waiter> displaced = queue.offer(request.team(), request.teamWeight(), waiter);
        displaced.ifPresent(other -> outbox.add(other, refusal(SlotStatus.OVERLOADED, wait, now)));
    }

    private void awaitSuspect(Waiter waiter, Instant now, Outbox outbox) {
        boolean waits = waiter.request().maxWaitMillis() >= durationMillis && waitingSuspects.size() < MAX_SUSPECTS;
        if (waits) {
            waitingSuspects.addLast(waiter);
            return;
        }
        outbox.add(waiter, refusal(SlotStatus.SUSPECT_BUSY, (long) durationMillis, now));
    }

    private void pumpSuspects(Instant now, Outbox outbox) {
        while (suspects == 0 && !waitingSuspects.isEmpty() && !leaving && !closed && !health.isSuspended(now)) {
            Waiter waiter = waitingSuspects.getFirst();
            String team = waiter.request().team();
            shares.touch(team, waiter.request().teamWeight(), now);
            if (!waiter.isOverdue(now) && !hasSlot(team, now)) {
                return;
            }
            waitingSuspects.removeFirst();
            SlotDecision decision = waiter.isOverdue(now)
                    ? refusal(waiter.overdueStatus(now), (long) durationMillis, now)
                    : grant(waiter.request(), waiter.since(), now);
            outbox.add(waiter, decision);
        }
    }

    /** Whether the engine has free slots that only the load bound holds back; they open as soon as the mean rises. */
    private boolean isHeldByBound(Instant now) {
        return !health.isProbing() && inFlight(now) < settings.maxInFlight() - settings.reservedSlots();
    }

    private void pump(Instant now, Outbox outbox) {
        pumpSuspects(now, outbox);
        while (queue.size() > 0 && !leaving && !closed && !health.isSuspended(now)) {
            Optional<Waiter> next = queue.poll(team -> hasSlot(team, now));
            if (next.isEmpty()) {
                return;
            }
            Waiter waiter = next.get();
            if (waiter.isOverdue(now)) {
                outbox.add(waiter, refusal(waiter.overdueStatus(now), waitMillis(queue.size()), now));
            } else if (waiter.request().suspect() && suspects > 0) {
                awaitSuspect(waiter, now, outbox);
            } else {
                outbox.add(waiter, grant(waiter.request(), waiter.since(), now));
            }
        }
    }

    private boolean hasSlot(String team, Instant now) {
        int load = inFlight(now);
        int limit = health.isProbing() ? 1 : Math.min(settings.maxInFlight(), bound.maxLoad(load, durationMillis));
        if (load >= limit || !foreign.allows(limit - load, now)) {
            return false;
        }
        boolean inReserve = load >= settings.maxInFlight() - settings.reservedSlots();
        return !inReserve || !shares.isAboveShare(team, settings.maxInFlight());
    }

    private SlotDecision grant(SlotRequest request, Instant since, Instant now) {
        long grantId = nextGrantId++;
        Instant expiry = now.plusMillis(settings.leaseMillis());
        grants.put(grantId, new Grant(request.team(), request.fingerprint(), request.suspect(), now, expiry));
        fingerprints.merge(request.fingerprint(), 1, Integer::sum);
        shares.take(request.team());
        suspects += request.suspect() ? 1 : 0;
        foreign.onOwnChange(grants.size(), now);
        foreign.onGrant();
        long queued = Duration.between(since, now).toMillis();
        return new SlotDecision(
                SlotStatus.GRANTED, grantId, epoch, settings.leaseMillis(), queued, 0, "", inFlight(now), false, false);
    }

    private void dropped(Grant grant, Instant now) {
        shares.give(grant.team());
        fingerprints.computeIfPresent(grant.fingerprint(), (key, count) -> count > 1 ? count - 1 : null);
        suspects -= grant.suspect() ? 1 : 0;
        foreign.onOwnChange(grants.size(), now);
    }

    private void startLeaving(Outbox outbox) {
        leaving = true;
        refuseAll(SlotStatus.UNAVAILABLE, outbox);
    }

    private void refuseAll(SlotStatus status, Outbox outbox) {
        Instant now = clock.instant();
        waitingSuspects.forEach(waiter -> outbox.add(waiter, refusal(status, 0, now)));
        waitingSuspects.clear();
        for (Optional<Waiter> next = queue.poll(team -> true); next.isPresent(); next = queue.poll(team -> true)) {
            outbox.add(next.get(), refusal(status, 0, now));
        }
    }

    private void refuseOverdue(Instant now, Outbox outbox) {
        waitingSuspects.removeIf(waiter -> {
            boolean overdue = waiter.isOverdue(now);
            if (overdue) {
                outbox.add(waiter, refusal(waiter.overdueStatus(now), (long) durationMillis, now));
            }
            return overdue;
        });
        Optional<Waiter> next = queue.removeFirst(waiter -> waiter.isOverdue(now));
        while (next.isPresent()) {
            outbox.add(next.get(), refusal(next.get().overdueStatus(now), waitMillis(queue.size()), now));
            next = queue.removeFirst(waiter -> waiter.isOverdue(now));
        }
    }

    private SlotDecision refusal(SlotStatus status, long retryAfterMillis, Instant now) {
        return SlotDecision.refused(status, epoch, retryAfterMillis, inFlight(now));
    }

    private boolean isInFlight(SlotRequest request) {
        return fingerprints.containsKey(request.fingerprint());
    }

    private int inFlight(Instant now) {
        return grants.size() + foreign.current(now);
    }

    private long waitMillis(int position) {
        int slots = Math.max(1, Math.min(settings.maxInFlight(), grants.size()));
        return (long) (position * durationMillis / slots);
    }

    private record Grant(String team, long fingerprint, boolean suspect, Instant since, Instant expiry) {
        private Grant renewed(Instant newExpiry) {
            return new Grant(team, fingerprint, suspect, since, newExpiry);
        }
    }

    private record Waiter(SlotRequest request, Consumer<SlotDecision> listener, Instant since) {
        private boolean isOverdue(Instant now) {
            long waited = Duration.between(since, now).toMillis();
            return waited >= Math.min(request.maxWaitMillis(), request.remainingMillis());
        }

        private SlotStatus overdueStatus(Instant now) {
            long waited = Duration.between(since, now).toMillis();
            return waited >= request.remainingMillis() ? SlotStatus.DEADLINE : SlotStatus.OVERLOADED;
        }
    }

    private static final class Outbox {
        private final List<Runnable> answers = new ArrayList<>(1);

        private void add(Waiter waiter, SlotDecision decision) {
            answers.add(() -> waiter.listener().accept(decision));
        }

        private void deliver() {
            answers.forEach(Runnable::run);
        }
    }
}
