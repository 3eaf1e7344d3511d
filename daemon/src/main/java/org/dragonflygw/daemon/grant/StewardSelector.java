package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.limits.TeamRateLimiter;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.retry.RetryBudgets;
import org.dragonflygw.core.retry.SuspectVerdict;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.CandidateKey;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.routing.EndpointSelector;
import org.dragonflygw.core.routing.EndpointTable;
import org.dragonflygw.core.routing.GrantAge;
import org.dragonflygw.core.routing.RoutingCode;
import org.dragonflygw.core.routing.RoutingException;
import org.dragonflygw.core.routing.SearchRequest;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotQuery;
import org.dragonflygw.core.routing.SlotSearch;
import org.dragonflygw.core.routing.SlotStatus;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.endpoint.ExpiringGrant;

/**
 * Selects an endpoint for a request by asking the stewards of the candidate engines for a slot. A refused request was not
 * dispatched. Thread-safe; a waiting request blocks only its own thread.
 */
@Singleton
public final class StewardSelector implements EndpointSelector {
    private static final int CANDIDATES = 5;
    private static final int SUSPECT_CANDIDATES = 10;
    private static final int PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final PoolStates pools;
    private final OwnerClient owners;
    private final HeldGrantTable heldGrants;
    private final OwnerNotifier notifier;
    private final FallbackSlots fallbackSlots;
    private final TeamRateLimiter rates;
    private final Quarantine quarantine;
    private final RetryBudgets budgets;
    private final EventRecorder events;
    private final GrantMetrics metrics;
    private final Clock clock;

    @Inject
    StewardSelector(
            PoolStates pools,
            OwnerClient owners,
            HeldGrantTable heldGrants,
            OwnerNotifier notifier,
            FallbackSlots fallbackSlots,
            TeamRateLimiter rates,
            Quarantine quarantine,
            RetryBudgets budgets,
            EventRecorder events,
            GrantMetrics metrics,
            Clock clock) {
        this.pools = pools;
        this.owners = owners;
        this.heldGrants = heldGrants;
        this.notifier = notifier;
        this.fallbackSlots = fallbackSlots;
        this.rates = rates;
        this.quarantine = quarantine;
        this.budgets = budgets;
        this.events = events;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public EndpointGrant acquire(RequestContext request, Set<String> excludedEndpoints) {
        if (excludedEndpoints.isEmpty()) {
            budgets.of(request.service()).onRequest();
            checkRate(request);
        }
        PoolState pool = pools.of(request.service().pool());
        EndpointTable table = pool.table();
        if (table.size() == 0) {
            throw new RoutingException(
                    RoutingCode.NO_ENDPOINT, "pool " + request.service().pool() + " is empty", RETRY_AFTER_MILLIS);
        }
        boolean suspectChecked = !excludedEndpoints.isEmpty() || quarantine.crashes(request.fingerprint()) > 0;
        boolean suspect = suspectChecked && checkSuspect(request);
        CandidateKey key = CandidateKey.of(request);
        int[] candidates = pool.rank(key, table, suspect ? SUSPECT_CANDIDATES : CANDIDATES);
        record(request, EventType.CANDIDATES_RANKED, "", pool.describe(candidates, table));
        SlotSearch search = new SlotSearch(searchRequest(request, key, suspect), table, candidates, excludedEndpoints);
        return new Acquisition(request, search, candidates, excludedEndpoints, suspectChecked, suspect).run();
    }

    private void record(RequestContext request, EventType type, String endpointId, String detail) {
        events.record(
                type,
                EventSubject.request(
                        request.requestId(),
                        request.chatId(),
                        endpointId,
                        request.team().name()),
                detail);
    }

    private void checkRate(RequestContext request) {
        long waitMillis = rates.acquire(request.team());
        if (waitMillis > 0) {
            throw new RoutingException(
                    RoutingCode.TEAM_RATE_EXCEEDED, "team " + request.team().name() + " is over its rate", waitMillis);
        }
    }

    /**
     * Returns whether the request is a suspect that may have only one attempt at a time.
     *
     * @throws RoutingException when another attempt runs or the request is quarantined
     */
    private boolean checkSuspect(RequestContext request) {
        SuspectVerdict verdict = owners.askSuspect(request.fingerprint(), request.requestId());
        return switch (verdict.kind()) {
            case CLEAR -> false;
            case SOLO -> true;
            case BUSY ->
                throw new RoutingException(
                        RoutingCode.OVERLOADED,
                        "the same request was in flight on an engine that was lost, and is being tried alone",
                        verdict.retryAfterMillis());
            case QUARANTINED -> throw quarantined(verdict.retryAfterMillis());
        };
    }

    private static RoutingException quarantined(long retryAfterMillis) {
        return new RoutingException(
                RoutingCode.QUARANTINED, "the request was in flight on engines that were lost", retryAfterMillis);
    }

    private static SearchRequest searchRequest(RequestContext request, CandidateKey key, boolean suspect) {
        long coldPrefillMillis = TimeUnit.SECONDS.toMillis(request.promptTokens()) / PREFILL_TOKENS_PER_SECOND;
        return new SearchRequest(
                request.requestId(),
                request.team().name(),
                Math.max(1, request.team().weight()),
                key,
                request.fingerprint(),
                coldPrefillMillis,
                suspect);
    }

    /** The acquisition of a slot for one request, by queries to the stewards of its candidates. */
    private final class Acquisition {
        private final RequestContext request;
        private final SlotSearch search;
        private final int[] candidates;
        private final Set<String> excluded;
        private final long startNanos = System.nanoTime();
        private boolean suspectChecked;
        private boolean suspect;
        private boolean noStewardReached = true;
        private long queryNanos;

        private Acquisition(
                RequestContext request,
                SlotSearch search,
                int[] candidates,
                Set<String> excluded,
                boolean suspectChecked,
                boolean suspect) {
            this.request = request;
            this.search = search;
            this.candidates = candidates;
            this.excluded = excluded;
            this.suspectChecked = suspectChecked;
            this.suspect = suspect;
        }

        private EndpointGrant run() {
            try {
                Optional<EndpointGrant> grant = findGrant();
                return grant.orElseThrow(this::refusal);
            } catch (RoutingException e) {
                metrics.recordRefused(search.queries());
                endSolo();
                record(EventType.GRANT_REFUSED, "", e.code() + " after " + search.queries() + " questions");
                throw e;
            }
        }

        private Optional<EndpointGrant> findGrant() {
            Optional<SlotQuery> query = search.next(remainingMillis());
            while (query.isPresent()) {
                Optional<SlotDecision> decision = sendQuery(query.get());
                if (decision.isPresent() && decision.get().isGranted()) {
                    return Optional.of(toEndpointGrant(query.get(), decision.get()));
                }
                if (search.firstUnavailable() && !suspectChecked) {
                    suspectChecked = true;
                    suspect = checkSuspect(request);
                    if (suspect) {
                        search.markSuspect();
                    }
                }
                query = search.next(remainingMillis());
            }
            return noStewardReached ? takeFallbackSlot() : Optional.empty();
        }

        private Optional<SlotDecision> sendQuery(SlotQuery query) {
            queryNanos = System.nanoTime();
            try {
                SlotDecision decision = owners.acquire(query, request.service(), request.priority());
                noStewardReached &= decision.status() == SlotStatus.NOT_STEWARD;
                search.onDecision(decision);
                return Optional.of(decision);
            } catch (GrantException e) {
                metrics.recordUnreachable();
                record(EventType.STEWARD_UNREACHABLE, query.endpoint().id(), String.valueOf(e.getMessage()));
                search.onUnreachable();
                return Optional.empty();
            }
        }

        private EndpointGrant toEndpointGrant(SlotQuery query, SlotDecision decision) {
            long key = heldGrants.add(query, request.service().name(), decision);
            boolean waited = decision.queuedMillis() > 0 || search.hasRestarted();
            if (waited && search.isDuplicateInFlight()) {
                recheckSuspect(key);
            }
            Endpoint endpoint = query.endpoint();
            if (search.isSpilled()) {
                notifier.notifySpill(search.firstCandidate(), query.request().chatHash(), endpoint);
            }
            long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
            metrics.recordGranted(search.queries(), search.isSpilled(), decision.queuedMillis(), micros);
            record(
                    EventType.GRANT_GIVEN,
                    endpoint.id(),
                    search.queries() + " questions, queued " + decision.queuedMillis() + " ms, " + decision.inFlight()
                            + " in flight"
                            + (search.isSpilled()
                                    ? ", first choice "
                                            + search.firstCandidate().id()
                                    : ""));
            GrantAge age = new GrantAge(queryNanos, decision.queuedMillis());
            return new ExpiringGrant(endpoint, age, outcome -> heldGrants.end(key, outcome));
        }

        /** Repeats the suspect check: a duplicate may have crashed an engine while this request waited. */
        private void recheckSuspect(long key) {
            try {
                suspect |= checkSuspect(request);
            } catch (RoutingException e) {
                heldGrants.end(key, AttemptOutcome.CANCELLED);
                throw e;
            }
        }

        private Optional<EndpointGrant> takeFallbackSlot() {
            Optional<Endpoint> endpoint = fallbackSlots.take(request.service(), candidates, excluded);
            if (endpoint.isEmpty()) {
                return Optional.empty();
            }
            metrics.recordLocal();
            record(EventType.GRANT_GIVEN, endpoint.get().id(), "fallback slot, no steward answered");
            GrantAge age = new GrantAge(System.nanoTime(), 0);
            return Optional.of(
                    new ExpiringGrant(endpoint.get(), age, outcome -> fallbackSlots.release(endpoint.get())));
        }

        private RoutingException refusal() {
            String service = "service " + request.service().name();
            long retryAfter = Math.max(1, search.retryAfterMillis());
            return switch (search.refusalStatus()) {
                case DEADLINE ->
                    new RoutingException(
                            RoutingCode.DEADLINE_UNREACHABLE, service + " cannot answer in time", retryAfter);
                case QUARANTINED -> quarantined(retryAfter);
                case TEAM_RATE ->
                    new RoutingException(RoutingCode.TEAM_RATE_EXCEEDED, service + ": team over its rate", retryAfter);
                case UNAVAILABLE, NOT_STEWARD ->
                    new RoutingException(
                            RoutingCode.NO_ENDPOINT, service + " has no endpoint that takes work", RETRY_AFTER_MILLIS);
                default -> new RoutingException(RoutingCode.OVERLOADED, service + " is at its bound", retryAfter);
            };
        }

        private void endSolo() {
            if (suspect) {
                notifier.notifySoloEnded(request.fingerprint(), request.requestId());
            }
        }

        private long remainingMillis() {
            return Math.max(
                    0, Duration.between(clock.instant(), request.deadline()).toMillis());
        }

        private void record(EventType type, String endpointId, String detail) {
            StewardSelector.this.record(request, type, endpointId, detail);
        }
    }
}
