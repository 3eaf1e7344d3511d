package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import org.dragonflygw.core.limits.FairQueue;
import org.dragonflygw.core.limits.TeamShares;

/**
 * Grants the slots of one engine. The load is the steward's own grants plus the requests of other stewards, estimated
 * from the engine's reports; it is kept within the engine's limit and the load bound of the service. Waiting requests
 * are served by team weight. Grants are leases fenced by the epoch: renewals and ends with another epoch are ignored.
 *
 * <p>Thread safe. Lock order: the monitor of the steward, then that of its load bound. Listeners are called without any
 * lock held.
 */
public final class EngineSteward {
    private static final int MAX_SPILLED_CHATS = 4_096;
    private static final Duration SPILL_RETENTION = Duration.ofMinutes(30);
    private static final double DURATION_SMOOTHING = 0.05;

    private final String endpointId;
    private final long epoch;
    private StewardSettings settings;
    private LoadBound bound;
    private final InstantSource clock;
    private final FairQueue<WaitingRequest> queue;
    private final SuspectQueue suspectQueue = new SuspectQueue();
    private final TeamShares shares = new TeamShares();
    private final OpenGrants grants = new OpenGrants(shares);
    private final ForeignLoad foreignLoad;
    private final EngineHealth health = new EngineHealth();
    private final SpilledChats spilledChats = new SpilledChats(MAX_SPILLED_CHATS, SPILL_RETENTION);
    private long nextGrantId = 1;
    private long statedEpoch;
    private long statementVersion;
    private double durationMillis;
    private boolean leaving;
    private boolean closed;

    /**
     * Takes over an engine.
     *
     * @param endpointId id of the engine
     * @param epoch epoch of this steward; must be higher than that of every earlier steward of the engine
     * @param settings limits and times
     * @param bound load bound of the service
     * @param inheritedLoad load that the previous steward last stated
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
        this.statedEpoch = epoch;
        this.settings = settings;
        this.bound = bound;
        this.clock = clock;
        this.queue = new FairQueue<>(settings.maxQueue());
        this.foreignLoad = new ForeignLoad(clock.instant(), Duration.ofMillis(settings.graceMillis()), inheritedLoad);
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

    /** Replaces the limits and the bound; existing grants above them stay valid. */
    public synchronized void reconfigure(StewardSettings newSettings, LoadBound newBound) {
        settings = newSettings;
        bound = newBound;
        queue.setMaxItems(newSettings.maxQueue());
    }

    /** Requests a slot. The listener is called exactly once: immediately, or when the request leaves the queue. */
    public void acquire(SlotRequest request, Consumer<SlotDecision> listener) {
        DeferredDecisions decisions = new DeferredDecisions();
        synchronized (this) {
            admit(new WaitingRequest(request, listener, clock.instant()), decisions);
        }
        decisions.deliver();
    }

    /**
     * Grants a slot, regardless of the bound, to a request that already runs under a grant of an earlier steward.
     *
     * @return the new grant
     */
    public synchronized SlotDecision adopt(SlotRequest request) {
        Instant now = clock.instant();
        shares.recordDemand(request.team(), request.teamWeight(), now);
        return grant(request, now, now);
    }

    /**
     * Renews a grant.
     *
     * @return false if the grant is unknown or belongs to another epoch
     */
    public synchronized boolean renew(long grantId, long grantEpoch) {
        return grantEpoch == epoch && grants.renew(grantId, clock.instant().plusMillis(settings.leaseMillis()));
    }

    /** Ends a grant. Idempotent: a repeated end returns {@link GrantEndResult#UNKNOWN}. */
    public GrantEndResult end(long grantId, long grantEpoch, AttemptOutcome outcome) {
        DeferredDecisions decisions = new DeferredDecisions();
        GrantEndResult result;
        synchronized (this) {
            Optional<OpenGrant> grant = grantEpoch == epoch ? grants.remove(grantId) : Optional.empty();
            if (grant.isEmpty()) {
                return GrantEndResult.UNKNOWN;
            }
            Instant now = clock.instant();
            foreignLoad.onOwnGrantsChanged(grants.size(), now);
            if (outcome == AttemptOutcome.COMPLETED) {
                recordDuration(grant.get(), now);
            }
            result = health.onEnd(outcome, now) ? GrantEndResult.ENDED_AND_SUSPENDED : GrantEndResult.ENDED;
            if (result == GrantEndResult.ENDED_AND_SUSPENDED) {
                refuseAll(SlotStatus.UNAVAILABLE, decisions);
            }
            serveQueues(now, decisions);
        }
        decisions.deliver();
        return result;
    }

    /** Records that a chat whose first candidate is this engine was sent to another engine. */
    public synchronized void recordSpill(long chatHash, String toEndpointId) {
        if (toEndpointId.equals(endpointId)) {
            spilledChats.remove(chatHash);
        } else {
            spilledChats.put(chatHash, toEndpointId, clock.instant());
        }
    }

    /** Processes a load report of the engine; reports lag behind the grants. */
    public void onReport(int inFlight, boolean engineLeaving) {
        DeferredDecisions decisions = new DeferredDecisions();
        synchronized (this) {
            Instant now = clock.instant();
            foreignLoad.onReport(inFlight, grants.size(), now);
            if (engineLeaving && !leaving) {
                startLeaving(decisions);
            }
            serveQueues(now, decisions);
        }
        decisions.deliver();
    }

    /** Stops granting permanently; waiting requests are refused immediately. */
    public void leave() {
        DeferredDecisions decisions = new DeferredDecisions();
        synchronized (this) {
            startLeaving(decisions);
        }
        decisions.deliver();
    }

    /** Ends the stewardship; waiting requests are refused with {@link SlotStatus#NOT_STEWARD}. */
    public void close() {
        DeferredDecisions decisions = new DeferredDecisions();
        synchronized (this) {
            closed = true;
            refuseAll(SlotStatus.NOT_STEWARD, decisions);
        }
        decisions.deliver();
    }

    /**
     * Removes expired grants, refuses requests that waited too long, and serves the queue with the current bound.
     *
     * @return number of expired grants
     */
    public int expire() {
        DeferredDecisions decisions = new DeferredDecisions();
        int expired;
        synchronized (this) {
            Instant now = clock.instant();
            expired = grants.expire(now);
            foreignLoad.onOwnGrantsChanged(grants.size(), now);
            serveQueues(now, decisions);
            refuseOverdue(now, decisions);
            shares.removeIdleTeams(now);
        }
        decisions.deliver();
        return expired;
    }

    /** Returns a new load statement for the other daemons. */
    public synchronized EndpointLoad load() {
        Instant now = clock.instant();
        int wait = (int) Math.min(Integer.MAX_VALUE, waitMillis(queue.size()));
        boolean takesNoWork = leaving || health.isProbing() || health.isSuspended(now);
        return new EndpointLoad(
                endpointId, statedEpoch, ++statementVersion, inFlight(now), queue.size(), takesNoWork, wait, now);
    }

    /**
     * Processes a load statement about this engine by another daemon, an earlier or a concurrent steward. If its epoch
     * is higher, the statements of this steward get a still higher epoch, and a grace period starts in which grants are
     * limited as after a takeover.
     */
    public synchronized void onOtherSteward(EndpointLoad statement) {
        if (statement.epoch() > statedEpoch) {
            statedEpoch = statement.epoch() + 1;
            foreignLoad.startGrace(clock.instant(), Duration.ofMillis(settings.graceMillis()));
        }
    }

    /**
     * Whether requests wait although the engine has free slots. A newer mean load of the service could then admit them.
     */
    public synchronized boolean isQueueHeldByBound() {
        return queue.size() > 0 && isHeldByBound(clock.instant());
    }

    /** Number of open grants of this steward. */
    public synchronized int openGrants() {
        return grants.size();
    }

    /** Number of slots that a team holds. */
    public synchronized int slots(String team) {
        return shares.slots(team);
    }

    private void admit(WaitingRequest waiter, DeferredDecisions decisions) {
        SlotRequest request = waiter.request();
        Instant now = waiter.since();
        if (closed) {
            decisions.add(waiter, refusal(SlotStatus.NOT_STEWARD, 0, now));
            return;
        }
        if (leaving || health.isSuspended(now)) {
            decisions.add(waiter, refusal(SlotStatus.UNAVAILABLE, health.remainingSuspensionMillis(now), now));
            return;
        }
        Optional<String> spilledTo =
                request.followRedirect() ? spilledChats.find(request.chatHash(), now) : Optional.empty();
        if (spilledTo.isPresent()) {
            decisions.add(
                    waiter,
                    new SlotDecision(
                            SlotStatus.REDIRECTED, 0, epoch, 0, 0, 0, spilledTo.get(), inFlight(now), false, false));
            return;
        }
        if (request.suspect() && grants.hasSuspect()) {
            awaitSuspect(waiter, now, decisions);
            return;
        }
        shares.recordDemand(request.team(), request.teamWeight(), now);
        if (queue.size(request.team()) == 0 && hasSlot(request.team(), now)) {
            queue.recordImmediateService(request.team(), request.teamWeight());
            decisions.add(waiter, grant(request, now, now));
            return;
        }
        enqueue(waiter, now, decisions);
    }

    private void enqueue(WaitingRequest waiter, Instant now, DeferredDecisions decisions) {
        SlotRequest request = waiter.request();
        if (health.isProbing()) {
            decisions.add(waiter, refusal(SlotStatus.UNAVAILABLE, (long) durationMillis, now));
            return;
        }
        long wait = waitMillis(queue.position(request.team(), request.teamWeight()));
        boolean duplicateInFlight = grants.hasFingerprint(request.fingerprint());
        boolean waitsForBound = request.lastResort() && isHeldByBound(now);
        double minDurationMillis = shares.meanDurationMillis(request.team(), 0) / 2;
        if (!waitsForBound && wait + minDurationMillis > request.remainingMillis()) {
            decisions.add(
                    waiter,
                    refusal(SlotStatus.DEADLINE, wait, now).withRefusalDetails(duplicateInFlight, isHeldByBound(now)));
            return;
        }
        if (!waitsForBound && wait > request.maxWaitMillis()) {
            decisions.add(
                    waiter,
                    refusal(SlotStatus.OVERLOADED, wait, now)
                            .withRefusalDetails(duplicateInFlight, isHeldByBound(now)));
            return;
        }
        Optional<WaitingRequest> displaced = queue.offer(request.team(), request.teamWeight(), waiter);
        displaced.ifPresent(other -> decisions.add(other, refusal(SlotStatus.OVERLOADED, wait, now)));
    }

    private void awaitSuspect(WaitingRequest waiter, Instant now, DeferredDecisions decisions) {
        boolean mayWait = waiter.request().maxWaitMillis() >= durationMillis;
        if (!mayWait || !suspectQueue.offer(waiter)) {
            decisions.add(waiter, refusal(SlotStatus.SUSPECT_BUSY, (long) durationMillis, now));
        }
    }

    private void serveSuspects(Instant now, DeferredDecisions decisions) {
        while (!grants.hasSuspect() && suspectQueue.peek().isPresent() && takesWork(now)) {
            WaitingRequest waiter = suspectQueue.peek().get();
            String team = waiter.request().team();
            shares.recordDemand(team, waiter.request().teamWeight(), now);
            if (!waiter.isOverdue(now) && !hasSlot(team, now)) {
                return;
            }
            suspectQueue.removeFirst();
            SlotDecision decision = waiter.isOverdue(now)
                    ? refusal(waiter.overdueStatus(now), (long) durationMillis, now)
                    : grant(waiter.request(), waiter.since(), now);
            decisions.add(waiter, decision);
        }
    }

    /** Whether only the load bound withholds free slots; they become available when the mean load rises. */
    private boolean isHeldByBound(Instant now) {
        return !health.isProbing() && inFlight(now) < settings.maxInFlight() - settings.reservedSlots();
    }

    private void serveQueues(Instant now, DeferredDecisions decisions) {
        serveSuspects(now, decisions);
        while (queue.size() > 0 && takesWork(now)) {
            Optional<WaitingRequest> next = queue.poll(team -> hasSlot(team, now));
            if (next.isEmpty()) {
                return;
            }
            WaitingRequest waiter = next.get();
            if (waiter.isOverdue(now)) {
                decisions.add(waiter, refusal(waiter.overdueStatus(now), waitMillis(queue.size()), now));
            } else if (waiter.request().suspect() && grants.hasSuspect()) {
                awaitSuspect(waiter, now, decisions);
            } else {
                decisions.add(waiter, grant(waiter.request(), waiter.since(), now));
            }
        }
    }

    private boolean takesWork(Instant now) {
        return !leaving && !closed && !health.isSuspended(now);
    }

    private boolean hasSlot(String team, Instant now) {
        int load = inFlight(now);
        int limit = health.isProbing() ? 1 : Math.min(settings.maxInFlight(), bound.maxLoad(load, durationMillis));
        if (load >= limit || !foreignLoad.allowsGrant(limit - load, now)) {
            return false;
        }
        boolean inReserve = load >= settings.maxInFlight() - settings.reservedSlots();
        return !inReserve || !shares.isAboveShare(team, settings.maxInFlight());
    }

    private SlotDecision grant(SlotRequest request, Instant since, Instant now) {
        long grantId = nextGrantId++;
        Instant expiry = now.plusMillis(settings.leaseMillis());
        grants.add(grantId, new OpenGrant(request.team(), request.fingerprint(), request.suspect(), now, expiry));
        foreignLoad.onOwnGrantsChanged(grants.size(), now);
        foreignLoad.onGrant();
        long queued = Duration.between(since, now).toMillis();
        return new SlotDecision(
                SlotStatus.GRANTED, grantId, epoch, settings.leaseMillis(), queued, 0, "", inFlight(now), false, false);
    }

    private void recordDuration(OpenGrant grant, Instant now) {
        double millis = Duration.between(grant.since(), now).toMillis();
        durationMillis += DURATION_SMOOTHING * (millis - durationMillis);
        shares.recordDuration(grant.team(), millis);
    }

    private void startLeaving(DeferredDecisions decisions) {
        leaving = true;
        refuseAll(SlotStatus.UNAVAILABLE, decisions);
    }

    private void refuseAll(SlotStatus status, DeferredDecisions decisions) {
        Instant now = clock.instant();
        suspectQueue.takeAll().forEach(waiter -> decisions.add(waiter, refusal(status, 0, now)));
        for (Optional<WaitingRequest> next = queue.poll(team -> true);
                next.isPresent();
                next = queue.poll(team -> true)) {
            decisions.add(next.get(), refusal(status, 0, now));
        }
    }

    private void refuseOverdue(Instant now, DeferredDecisions decisions) {
        for (WaitingRequest waiter : suspectQueue.takeOverdue(now)) {
            decisions.add(waiter, refusal(waiter.overdueStatus(now), (long) durationMillis, now));
        }
        Optional<WaitingRequest> next = queue.removeFirst(waiter -> waiter.isOverdue(now));
        while (next.isPresent()) {
            decisions.add(next.get(), refusal(next.get().overdueStatus(now), waitMillis(queue.size()), now));
            next = queue.removeFirst(waiter -> waiter.isOverdue(now));
        }
    }

    private SlotDecision refusal(SlotStatus status, long retryAfterMillis, Instant now) {
        return SlotDecision.refused(status, epoch, retryAfterMillis, inFlight(now));
    }

    private int inFlight(Instant now) {
        return grants.size() + foreignLoad.current(now);
    }

    private long waitMillis(int position) {
        int slots = Math.max(1, Math.min(settings.maxInFlight(), grants.size()));
        return (long) (position * durationMillis / slots);
    }
}
