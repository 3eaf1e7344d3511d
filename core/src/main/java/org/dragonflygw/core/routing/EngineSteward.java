package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
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
    private static final int SPILL_MEMORY_CHATS = 4_096;
    private static final Duration SPILL_KEEP = Duration.ofMinutes(30);
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
    private final ForeignLoad foreign;
    private final EngineHealth health = new EngineHealth();
    private final SpilledChats spills = new SpilledChats(SPILL_MEMORY_CHATS, SPILL_KEEP);
    private long nextGrantId = 1;
    private long statementEpoch;
    private long version;
    private double durationMillis;
    private boolean leaving;
    private boolean closed;

    /**
     * Takes over an engine. The epoch must be higher than that of every earlier steward; the inherited load is what the
     * last one stated.
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
        DeferredDecisions answers = new DeferredDecisions();
        synchronized (this) {
            admit(new WaitingRequest(request, listener, clock.instant()), answers);
        }
        answers.deliver();
    }

    /**
     * Counts a request that runs under a grant of an earlier steward, whatever the bound.
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
     * @return false when the grant is unknown or of another epoch
     */
    public synchronized boolean renew(long grantId, long grantEpoch) {
        return grantEpoch == epoch && grants.renew(grantId, clock.instant().plusMillis(settings.leaseMillis()));
    }

    /** Ends a grant and tells what became of it and of the engine. Repeated ends change nothing. */
    public GrantEndResult end(long grantId, long grantEpoch, AttemptOutcome outcome) {
        DeferredDecisions answers = new DeferredDecisions();
        GrantEndResult result;
        synchronized (this) {
            Optional<OpenGrant> grant = grantEpoch == epoch ? grants.remove(grantId) : Optional.empty();
            if (grant.isEmpty()) {
                return GrantEndResult.UNKNOWN;
            }
            Instant now = clock.instant();
            foreign.onOwnGrantsChanged(grants.size(), now);
            if (outcome == AttemptOutcome.COMPLETED) {
                noteDuration(grant.get(), now);
            }
            result = health.onEnd(outcome, now) ? GrantEndResult.ENDED_AND_SUSPENDED : GrantEndResult.ENDED;
            if (result == GrantEndResult.ENDED_AND_SUSPENDED) {
                refuseAll(SlotStatus.UNAVAILABLE, answers);
            }
            pump(now, answers);
        }
        answers.deliver();
        return result;
    }

    /** Notes that a chat whose first engine this is went to another one. */
    public synchronized void recordSpill(long chatHash, String toEndpointId) {
        if (toEndpointId.equals(endpointId)) {
            spills.remove(chatHash);
        } else {
            spills.put(chatHash, toEndpointId, clock.instant());
        }
    }

    /** Takes a lagging load report of the engine. */
    public void onReport(int inFlight, boolean engineLeaving) {
        DeferredDecisions answers = new DeferredDecisions();
        synchronized (this) {
            Instant now = clock.instant();
            foreign.onReport(inFlight, grants.size(), now);
            if (engineLeaving && !leaving) {
                startLeaving(answers);
            }
            pump(now, answers);
        }
        answers.deliver();
    }

    /** Stops granting for good; waiting requests are refused at once. */
    public void leave() {
        DeferredDecisions answers = new DeferredDecisions();
        synchronized (this) {
            startLeaving(answers);
        }
        answers.deliver();
    }

    /** Ends the stewardship; waiting requests are told to ask the new steward. */
    public void close() {
        DeferredDecisions answers = new DeferredDecisions();
        synchronized (this) {
            closed = true;
            refuseAll(SlotStatus.NOT_STEWARD, answers);
        }
        answers.deliver();
    }

    /** Expires leases and waits that are over, and serves the queue with the current bound. */
    public int expire() {
        DeferredDecisions answers = new DeferredDecisions();
        int expired;
        synchronized (this) {
            Instant now = clock.instant();
            expired = grants.expire(now);
            foreign.onOwnGrantsChanged(grants.size(), now);
            pump(now, answers);
            refuseOverdue(now, answers);
            shares.removeIdleTeams(now);
        }
        answers.deliver();
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
    public synchronized boolean isQueueHeldByBound() {
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

    private void admit(WaitingRequest waiter, DeferredDecisions answers) {
        SlotRequest request = waiter.request();
        Instant now = waiter.since();
        if (closed) {
            answers.add(waiter, refusal(SlotStatus.NOT_STEWARD, 0, now));
            return;
        }
        if (leaving || health.isSuspended(now)) {
            answers.add(waiter, refusal(SlotStatus.UNAVAILABLE, health.remainingSuspensionMillis(now), now));
            return;
        }
        Optional<String> spilledTo = request.followRedirect() ? spills.find(request.chatHash(), now) : Optional.empty();
        if (spilledTo.isPresent()) {
            answers.add(
                    waiter,
                    new SlotDecision(
                            SlotStatus.REDIRECTED, 0, epoch, 0, 0, 0, spilledTo.get(), inFlight(now), false, false));
            return;
        }
        if (request.suspect() && grants.hasSuspect()) {
            awaitSuspect(waiter, now, answers);
            return;
        }
        shares.recordDemand(request.team(), request.teamWeight(), now);
        if (queue.size(request.team()) == 0 && hasSlot(request.team(), now)) {
            queue.recordImmediateService(request.team(), request.teamWeight());
            answers.add(waiter, grant(request, now, now));
            return;
        }
        enqueue(waiter, now, answers);
    }

    private void enqueue(WaitingRequest waiter, Instant now, DeferredDecisions answers) {
        SlotRequest request = waiter.request();
        if (health.isProbing()) {
            answers.add(waiter, refusal(SlotStatus.UNAVAILABLE, (long) durationMillis, now));
            return;
        }
        long wait = waitMillis(queue.position(request.team(), request.teamWeight()));
        boolean same = grants.hasFingerprint(request.fingerprint());
        boolean waitsForMean = request.lastResort() && isHeldByBound(now);
        double shortest = shares.meanDurationMillis(request.team(), 0) / 2;
        if (!waitsForMean && wait + shortest > request.remainingMillis()) {
            answers.add(waiter, refusal(SlotStatus.DEADLINE, wait, now).withRefusalDetails(same, isHeldByBound(now)));
            return;
        }
        if (!waitsForMean && wait > request.maxWaitMillis()) {
            answers.add(waiter, refusal(SlotStatus.OVERLOADED, wait, now).withRefusalDetails(same, isHeldByBound(now)));
            return;
        }
        Optional<WaitingRequest> displaced = queue.offer(request.team(), request.teamWeight(), waiter);
        displaced.ifPresent(other -> answers.add(other, refusal(SlotStatus.OVERLOADED, wait, now)));
    }

    private void awaitSuspect(WaitingRequest waiter, Instant now, DeferredDecisions answers) {
        boolean mayWait = waiter.request().maxWaitMillis() >= durationMillis;
        if (!mayWait || !suspectQueue.offer(waiter)) {
            answers.add(waiter, refusal(SlotStatus.SUSPECT_BUSY, (long) durationMillis, now));
        }
    }

    private void pumpSuspects(Instant now, DeferredDecisions answers) {
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
            answers.add(waiter, decision);
        }
    }

    /** Whether the engine has free slots that only the load bound holds back; they open as soon as the mean rises. */
    private boolean isHeldByBound(Instant now) {
        return !health.isProbing() && inFlight(now) < settings.maxInFlight() - settings.reservedSlots();
    }

    private void pump(Instant now, DeferredDecisions answers) {
        pumpSuspects(now, answers);
        while (queue.size() > 0 && takesWork(now)) {
            Optional<WaitingRequest> next = queue.poll(team -> hasSlot(team, now));
            if (next.isEmpty()) {
                return;
            }
            WaitingRequest waiter = next.get();
            if (waiter.isOverdue(now)) {
                answers.add(waiter, refusal(waiter.overdueStatus(now), waitMillis(queue.size()), now));
            } else if (waiter.request().suspect() && grants.hasSuspect()) {
                awaitSuspect(waiter, now, answers);
            } else {
                answers.add(waiter, grant(waiter.request(), waiter.since(), now));
            }
        }
    }

    private boolean takesWork(Instant now) {
        return !leaving && !closed && !health.isSuspended(now);
    }

    private boolean hasSlot(String team, Instant now) {
        int load = inFlight(now);
        int limit = health.isProbing() ? 1 : Math.min(settings.maxInFlight(), bound.maxLoad(load, durationMillis));
        if (load >= limit || !foreign.allowsGrant(limit - load, now)) {
            return false;
        }
        boolean inReserve = load >= settings.maxInFlight() - settings.reservedSlots();
        return !inReserve || !shares.isAboveShare(team, settings.maxInFlight());
    }

    private SlotDecision grant(SlotRequest request, Instant since, Instant now) {
        long grantId = nextGrantId++;
        Instant expiry = now.plusMillis(settings.leaseMillis());
        grants.add(grantId, new OpenGrant(request.team(), request.fingerprint(), request.suspect(), now, expiry));
        foreign.onOwnGrantsChanged(grants.size(), now);
        foreign.onGrant();
        long queued = Duration.between(since, now).toMillis();
        return new SlotDecision(
                SlotStatus.GRANTED, grantId, epoch, settings.leaseMillis(), queued, 0, "", inFlight(now), false, false);
    }

    private void noteDuration(OpenGrant grant, Instant now) {
        double millis = Duration.between(grant.since(), now).toMillis();
        durationMillis += DURATION_SMOOTHING * (millis - durationMillis);
        shares.recordDuration(grant.team(), millis);
    }

    private void startLeaving(DeferredDecisions answers) {
        leaving = true;
        refuseAll(SlotStatus.UNAVAILABLE, answers);
    }

    private void refuseAll(SlotStatus status, DeferredDecisions answers) {
        Instant now = clock.instant();
        suspectQueue.takeAll().forEach(waiter -> answers.add(waiter, refusal(status, 0, now)));
        for (Optional<WaitingRequest> next = queue.poll(team -> true);
                next.isPresent();
                next = queue.poll(team -> true)) {
            answers.add(next.get(), refusal(status, 0, now));
        }
    }

    private void refuseOverdue(Instant now, DeferredDecisions answers) {
        for (WaitingRequest waiter : suspectQueue.takeOverdue(now)) {
            answers.add(waiter, refusal(waiter.overdueStatus(now), (long) durationMillis, now));
        }
        Optional<WaitingRequest> next = queue.removeFirst(waiter -> waiter.isOverdue(now));
        while (next.isPresent()) {
            answers.add(next.get(), refusal(next.get().overdueStatus(now), waitMillis(queue.size()), now));
            next = queue.removeFirst(waiter -> waiter.isOverdue(now));
        }
    }

    private SlotDecision refusal(SlotStatus status, long retryAfterMillis, Instant now) {
        return SlotDecision.refused(status, epoch, retryAfterMillis, inFlight(now));
    }

    private int inFlight(Instant now) {
        return grants.size() + foreign.current(now);
    }

    private long waitMillis(int position) {
        int slots = Math.max(1, Math.min(settings.maxInFlight(), grants.size()));
        return (long) (position * durationMillis / slots);
    }
}
