package org.dragonflygw.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;

/**
 * Search for a slot for one request, as a sequence of queries to stewards. The candidates are queried in order: the
 * first one may queue the request for as long as a cold prefill elsewhere would take, the others must have a free slot.
 * If a steward redirects to the engine that holds the chat's cache, that engine is queried next. If no candidate has a
 * slot, the one with the shortest wait is asked to queue the request until its deadline; if only the load bound
 * withholds slots, the search restarts after a short wait instead.
 *
 * <p>Each request has its own search. The class is not thread safe and does no I/O.
 *
 * <p>If the same request is already in flight on a queried engine, no other engine is queried, so that duplicates of a
 * request that crashes engines do not spread before the crashes are known.
 */
public final class SlotSearch {
    private static final long MIN_RESTART_WAIT_MILLIS = 100;
    private static final int MAX_RESTARTS = 20;
    private static final int MAX_DOUBLINGS = 4;

    private final SearchRequest request;
    private final EndpointTable table;
    private final int[] candidates;
    private final Set<String> excluded;

    private final Set<String> queriedIds = new HashSet<>();
    private final Map<String, Integer> indexById = new HashMap<>();
    private Stage stage = Stage.CANDIDATES;
    private int nextCandidate;
    private String redirect = "";
    private boolean followRedirect = true;
    private Endpoint current;
    private Endpoint shortestWait;
    private long shortestWaitMillis = Long.MAX_VALUE;
    private SlotDecision grant;
    private SlotStatus refusalStatus = SlotStatus.UNAVAILABLE;
    private boolean firstUnavailable;
    private int queries;
    private int restarts;
    private boolean heldByBound;
    private boolean suspect;
    private boolean duplicateInFlight;

    /**
     * @param request the request
     * @param table endpoints of the service
     * @param candidates indices into the table, best first
     * @param excluded ids of endpoints that must not be queried
     */
    public SlotSearch(SearchRequest request, EndpointTable table, int[] candidates, Set<String> excluded) {
        this.request = request;
        this.table = table;
        this.candidates = candidates.clone();
        this.excluded = excluded;
        this.suspect = request.suspect();
        for (int candidate : candidates) {
            indexById.put(table.endpoint(candidate).id(), candidate);
        }
    }

    /**
     * Returns the next query; empty when the search is over. The result of the query must be passed to
     * {@link #onDecision} or {@link #onUnreachable} before the next call.
     *
     * @param remainingMillis time left until the deadline, in milliseconds
     */
    public Optional<SlotQuery> next(long remainingMillis) {
        if (grant != null || stage == Stage.OVER) {
            return Optional.empty();
        }
        if (!redirect.isEmpty()) {
            String target = redirect;
            redirect = "";
            Optional<Endpoint> endpoint = find(target);
            if (endpoint.isPresent()) {
                return ask(endpoint.get(), remainingMillis, request.coldPrefillMillis(), false);
            }
        }
        while (stage == Stage.CANDIDATES && nextCandidate < candidates.length) {
            boolean first = nextCandidate == 0;
            Endpoint endpoint = table.endpoint(candidates[nextCandidate++]);
            if (excluded.contains(endpoint.id())) {
                firstUnavailable |= first;
                continue;
            }
            boolean warm = first && followRedirect;
            if (!queriedIds.contains(endpoint.id())) {
                return ask(endpoint, remainingMillis, warm ? request.coldPrefillMillis() : 0, warm);
            }
        }
        if (stage == Stage.CANDIDATES && shortestWait != null) {
            stage = Stage.QUEUE;
            long wait = heldByBound
                    ? Math.min(MIN_RESTART_WAIT_MILLIS << Math.min(restarts, MAX_DOUBLINGS), remainingMillis)
                    : remainingMillis;
            return ask(shortestWait, remainingMillis, wait, false);
        }
        if (stage == Stage.QUEUE && tryRestart(remainingMillis)) {
            return next(remainingMillis);
        }
        stage = Stage.OVER;
        return Optional.empty();
    }

    /** Processes the decision about the last query. */
    public void onDecision(SlotDecision decision) {
        switch (decision.status()) {
            case GRANTED -> grant = decision;
            case REDIRECTED -> {
                redirect = decision.redirectEndpointId();
                followRedirect = false;
                queriedIds.remove(current.id());
                nextCandidate = 0;
            }
            case DEADLINE, OVERLOADED, SUSPECT_BUSY -> onFull(decision);
            case QUARANTINED, TEAM_RATE -> {
                refusalStatus = decision.status();
                shortestWaitMillis = decision.retryAfterMillis();
                stage = Stage.OVER;
            }
            case UNAVAILABLE, NOT_STEWARD -> onUnavailable();
        }
    }

    /** Records that the steward of the last query did not answer. */
    public void onUnreachable() {
        onUnavailable();
    }

    /** Marks the request as a suspect in later queries, so that stewards run it with no other suspect. */
    public void markSuspect() {
        suspect = true;
    }

    /**
     * Whether a steward reported the same request in flight. A request that waited must then be checked again for
     * crashes.
     */
    public boolean isDuplicateInFlight() {
        return duplicateInFlight;
    }

    /** Whether the search was restarted, so that facts known at its start may be out of date. */
    public boolean hasRestarted() {
        return restarts > 0;
    }

    /** The decision that granted the slot; empty until then. */
    public Optional<SlotDecision> grant() {
        return Optional.ofNullable(grant);
    }

    /** The endpoint that was queried last. */
    public Endpoint lastQueriedEndpoint() {
        return current;
    }

    /**
     * Whether the slot is not on the first candidate, so that the steward of the first candidate must record the spill.
     */
    public boolean isSpilled() {
        return grant != null && !current.id().equals(firstCandidate().id());
    }

    /** The first candidate. */
    public Endpoint firstCandidate() {
        return table.endpoint(candidates[0]);
    }

    /** Whether the first candidate takes no work or is excluded. The request may then have crashed it. */
    public boolean firstUnavailable() {
        return firstUnavailable;
    }

    /** Reason why no slot was found. */
    public SlotStatus refusalStatus() {
        return refusalStatus;
    }

    /** If no slot was found, time after which a retry makes sense, in milliseconds. */
    public long retryAfterMillis() {
        return shortestWaitMillis == Long.MAX_VALUE ? request.coldPrefillMillis() + 1_000 : shortestWaitMillis;
    }

    /** Number of queries so far. */
    public int queries() {
        return queries;
    }

    private void onFull(SlotDecision decision) {
        heldByBound |= decision.heldByBound();
        if (decision.sameInFlight()) {
            duplicateInFlight = true;
            nextCandidate = candidates.length;
            shortestWaitMillis = Long.MAX_VALUE;
        }
        if (refusalStatus == SlotStatus.UNAVAILABLE || decision.status() == SlotStatus.OVERLOADED) {
            refusalStatus = decision.status();
        }
        if (decision.retryAfterMillis() < shortestWaitMillis && stage == Stage.CANDIDATES) {
            shortestWaitMillis = decision.retryAfterMillis();
            shortestWait = current;
        }
    }

    private void onUnavailable() {
        firstUnavailable |= current.id().equals(firstCandidate().id());
    }

    private Optional<SlotQuery> ask(Endpoint endpoint, long remaining, long maxWait, boolean mayRedirect) {
        current = endpoint;
        queriedIds.add(endpoint.id());
        queries++;
        SlotRequest slot = new SlotRequest(
                request.requestId(),
                request.team(),
                request.teamWeight(),
                request.key().chatHash(),
                request.key().prefixHash(),
                request.fingerprint(),
                remaining,
                Math.min(maxWait, remaining),
                suspect,
                mayRedirect,
                stage == Stage.QUEUE);
        return Optional.of(new SlotQuery(endpoint, slot));
    }

    private Optional<Endpoint> find(String endpointId) {
        if (excluded.contains(endpointId)) {
            return Optional.empty();
        }
        Integer index = indexById.get(endpointId);
        return index == null ? table.find(endpointId) : Optional.of(table.endpoint(index));
    }

    /**
     * Restarts the search if only the load bound withholds slots, so that the request does not stay queued at one
     * engine.
     */
    private boolean tryRestart(long remainingMillis) {
        if (!heldByBound || remainingMillis <= MIN_RESTART_WAIT_MILLIS || ++restarts > MAX_RESTARTS) {
            return false;
        }
        stage = Stage.CANDIDATES;
        nextCandidate = 0;
        followRedirect = false;
        heldByBound = false;
        queriedIds.clear();
        shortestWait = null;
        shortestWaitMillis = Long.MAX_VALUE;
        return true;
    }

    private enum Stage {
        CANDIDATES,
        QUEUE,
        OVER
    }
}
