package org.dragonflygw.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;

/**
 * The search of one request for a slot, as a sequence of questions to stewards. First the candidates in order: the
 * first may keep the request waiting for as long as a cold prefill elsewhere would take, the others must have a slot at
 * once. Where a steward names the engine that holds the chat's cache, that one is asked next. When no candidate has a
 * slot, the one with the shortest wait is asked to queue the request until its deadline; where only the load bound holds
 * slots back, the search starts over after a short wait instead. Each request has its own
 * search; it is not thread safe and does no input or output.
 *
 * <p>A copy of a request that is in flight on the asked engine goes nowhere else, so that copies of a request that
 * crashes engines do not spread before that is known.
 */
public final class SlotSearch {
    private static final long ROUND_MILLIS = 100;
    private static final int MAX_ROUNDS = 20;
    private static final int MAX_DOUBLINGS = 4;

    private final SearchRequest request;
    private final EndpointTable table;
    private final int[] candidates;
    private final Set<String> excluded;

    private final Set<String> asked = new HashSet<>();
    private final Map<String, Integer> indexes = new HashMap<>();
    private Stage stage = Stage.CANDIDATES;
    private int nextCandidate;
    private String redirect = "";
    private boolean followRedirect = true;
    private Endpoint current;
    private Endpoint shortestWait;
    private long shortestWaitMillis = Long.MAX_VALUE;
    private SlotDecision grant;
    private SlotStatus worst = SlotStatus.UNAVAILABLE;
    private boolean firstUnavailable;
    private int calls;
    private int rounds;
    private boolean heldByBound;
    private boolean suspect;
    private boolean isDuplicateInFlight;

    /**
     * Starts a search.
     *
     * @param request the request
     * @param table endpoints of its service
     * @param candidates indices into the table, best first
     * @param excluded ids of endpoints that must not be asked
     */
    public SlotSearch(SearchRequest request, EndpointTable table, int[] candidates, Set<String> excluded) {
        this.request = request;
        this.table = table;
        this.candidates = candidates.clone();
        this.excluded = excluded;
        this.suspect = request.suspect();
        for (int candidate : candidates) {
            indexes.put(table.endpoint(candidate).id(), candidate);
        }
    }

    /**
     * The next question; empty when the search is over. Its answer must be given before the next call.
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
            if (!asked.contains(endpoint.id())) {
                return ask(endpoint, remainingMillis, warm ? request.coldPrefillMillis() : 0, warm);
            }
        }
        if (stage == Stage.CANDIDATES && shortestWait != null) {
            stage = Stage.QUEUE;
            long wait = heldByBound
                    ? Math.min(ROUND_MILLIS << Math.min(rounds, MAX_DOUBLINGS), remainingMillis)
                    : remainingMillis;
            return ask(shortestWait, remainingMillis, wait, false);
        }
        if (stage == Stage.QUEUE && startsOver(remainingMillis)) {
            return next(remainingMillis);
        }
        stage = Stage.OVER;
        return Optional.empty();
    }

    /** Takes the answer to the last question. */
    public void onDecision(SlotDecision decision) {
        switch (decision.status()) {
            case GRANTED -> grant = decision;
            case REDIRECTED -> {
                redirect = decision.redirectEndpointId();
                followRedirect = false;
                asked.remove(current.id());
                nextCandidate = 0;
            }
            case DEADLINE, OVERLOADED, SUSPECT_BUSY -> onFull(decision);
            case QUARANTINED, TEAM_RATE -> {
                worst = decision.status();
                shortestWaitMillis = decision.retryAfterMillis();
                stage = Stage.OVER;
            }
            case UNAVAILABLE, NOT_STEWARD -> onUnavailable();
        }
    }

    /** Notes that the steward of the last question gave no answer. */
    public void onUnreachable() {
        onUnavailable();
    }

    /** Asks the next stewards to run this request alone among suspects. */
    public void markSuspect() {
        suspect = true;
    }

    /** Whether a steward told that the same request is in flight; then its fate matters to a request that waited. */
    public boolean isDuplicateInFlight() {
        return isDuplicateInFlight;
    }

    /** Whether the search started over, so that what was known at its start may be old. */
    public boolean hasRestarted() {
        return rounds > 0;
    }

    /** The slot; empty while none is held. */
    public Optional<SlotDecision> grant() {
        return Optional.ofNullable(grant);
    }

    /** The endpoint that was asked last. */
    public Endpoint endpoint() {
        return current;
    }

    /** Whether the chat must be remembered at its first endpoint because it went elsewhere. */
    public boolean isSpilled() {
        return grant != null && !current.id().equals(first().id());
    }

    /** The first endpoint in order. */
    public Endpoint first() {
        return table.endpoint(candidates[0]);
    }

    /** Whether the first endpoint in order takes no work or may not be used, so the request may have crashed it. */
    public boolean firstUnavailable() {
        return firstUnavailable;
    }

    /** Why no slot was found. */
    public SlotStatus refusal() {
        return worst;
    }

    /** When no slot was found, time until a new try makes sense, in milliseconds. */
    public long retryAfterMillis() {
        return shortestWaitMillis == Long.MAX_VALUE ? request.coldPrefillMillis() + 1_000 : shortestWaitMillis;
    }

    /** Number of questions so far. */
    public int calls() {
        return calls;
    }

    private void onFull(SlotDecision decision) {
        heldByBound |= decision.heldByBound();
        if (decision.sameInFlight()) {
            isDuplicateInFlight = true;
            nextCandidate = candidates.length;
            shortestWaitMillis = Long.MAX_VALUE;
        }
        if (worst == SlotStatus.UNAVAILABLE || decision.status() == SlotStatus.OVERLOADED) {
            worst = decision.status();
        }
        if (decision.retryAfterMillis() < shortestWaitMillis && stage == Stage.CANDIDATES) {
            shortestWaitMillis = decision.retryAfterMillis();
            shortestWait = current;
        }
    }

    private void onUnavailable() {
        firstUnavailable |= current.id().equals(first().id());
    }

    private Optional<SlotQuery> ask(Endpoint endpoint, long remaining, long maxWait, boolean mayRedirect) {
        current = endpoint;
        asked.add(endpoint.id());
        calls++;
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
        Integer index = indexes.get(endpointId);
        return index == null ? table.find(endpointId) : Optional.of(table.endpoint(index));
    }

    /** Starts over while requests wait for a newer mean, so that they do not stay bound to one engine. */
    private boolean startsOver(long remainingMillis) {
        if (!heldByBound || remainingMillis <= ROUND_MILLIS || ++rounds > MAX_ROUNDS) {
            return false;
        }
        stage = Stage.CANDIDATES;
        nextCandidate = 0;
        followRedirect = false;
        heldByBound = false;
        asked.clear();
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
