package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Chooses the endpoint at which a request's answer is expected to begin first. The expected time is made of the prompt
 * tokens the engine has still to read, those of this prompt that it does not cache, and its load; failures and distance
 * add to it. All hosts rank engines for a shared prompt part in the same order, so that the part stays on one engine
 * until waiting there would cost more than reading it elsewhere. Used by one thread.
 */
public final class ExpectedTimeChooser implements EndpointChooser {
    /** How much each running request delays the first token, in milliseconds. */
    private static final double RUNNING_MS = 2.5;

    /** How long a place of a plain service is taken by a request, in milliseconds. */
    private static final double PLAIN_WORK_MS = 25;

    /** Cost of a recent failure, in milliseconds: more than reading a long prompt anew. */
    private static final double FAILURE_MS = 400;

    /** Cost of another availability zone, in milliseconds: its latency, and its bytes are charged. */
    private static final double OTHER_ZONE_MS = 6;

    /** Cost of each place that an endpoint stands lower in the order of a shared part, in milliseconds. */
    private static final double RANK_MS = 8;

    /** Share of the reading time that is charged at the first engine of the order although this host sent it nothing. */
    private static final double FIRST_RANK_UNCACHED = 0.4;

    /** Share of the objective up to which an expected time is safe, as expectations are rough. */
    private static final double ON_TIME_SHARE = 0.4;

    /** Cost of a millisecond of waiting that does not make the answer late. */
    private static final double ON_TIME_COST = 0.5;

    /** Further cost of a millisecond beyond the safe time. */
    private static final double LATE_COST = 2;

    /** Cost of fetching a prompt's start from another engine, in milliseconds: the set-up of a transfer. */
    private static final double FETCH_MS = 8;

    /** Cost of each fetched token, in milliseconds; transfers are fast, but charged by their size. */
    private static final double FETCH_MS_PER_TOKEN = 0.01;

    /** Load that is allowed beside the multiple of the mean: half a request below the platform's 3. */
    private static final double BOUND_SLACK = 2.5;

    /** Share of the multiple of the mean that is used, as loads are known late. */
    private static final double BOUND_SHARE = 0.85;

    /** Cost of an endpoint over the load bound, in milliseconds: taken only if all others are worse. */
    private static final double OVER_BOUND_MS = 3_000;

    /** Cost of an endpoint to which connections failed just now, in milliseconds. */
    private static final double BLOCKED_MS = 20_000;

    private final EndpointLoads loads;
    private final UsableEndpoints usable;
    private final Supplier<DispatchSettings> settings;
    private final CandidateSampler sampling;

    /** Makes a chooser over the known endpoints. */
    public ExpectedTimeChooser(EndpointLoads loads, Supplier<DispatchSettings> settings, CandidateSampler sampling) {
        this.loads = loads;
        this.usable = new UsableEndpoints(loads);
        this.settings = settings;
        this.sampling = sampling;
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> candidates = usable.all(request);
        if (candidates.isEmpty()) {
            return Choice.none(UnavailableReason.NO_ENDPOINT, 0);
        }
        double bound = loadBound(candidates, nowNanos);
        if (!request.service().hasModelEngines()) {
            candidates = sampling.sample(usable.notFull(request, nowNanos), nowNanos);
        }
        Scored best = best(request, candidates, bound, nowNanos);
        if (best == null) {
            return Choice.none(UnavailableReason.BUSY, 0);
        }
        if (best.expectedMs > request.remainingMs()) {
            return Choice.none(UnavailableReason.TOO_LATE, (long) best.expectedMs);
        }
        return new Choice(
                Optional.of(best.endpoint),
                (long) best.expectedMs,
                best.reading.tokens,
                best.reading.source,
                UnavailableReason.NONE);
    }

    private Scored best(ChoiceRequest request, List<EndpointLoadState> candidates, double bound, long nowNanos) {
        RendezvousOrder order = new RendezvousOrder(candidates, request.prompt().sharedKey());
        PromptHolders holders = holders(request, nowNanos);
        Scored best = null;
        for (int i = 0; i < candidates.size(); i++) {
            EndpointLoadState e = candidates.get(i);
            if (UsableEndpoints.isFull(request, e, nowNanos)) {
                continue;
            }
            Scored s = score(request, e, order.rank(i), holders, bound, nowNanos);
            if (best == null || s.cost < best.cost) {
                best = s;
            }
        }
        return best;
    }

    private PromptHolders holders(ChoiceRequest request, long nowNanos) {
        CatalogService service = request.service();
        boolean mayFetch = service.hasModelEngines() && service.bytesPerToken() > 0;
        List<EndpointLoadState> engines = mayFetch ? loads.ofService(service.name()) : List.of();
        return new PromptHolders(engines, request.prompt(), nowNanos);
    }

    private double loadBound(List<EndpointLoadState> candidates, long nowNanos) {
        return BOUND_SHARE * settings.get().capFactor() * UsableEndpoints.meanLoad(candidates, nowNanos) + BOUND_SLACK;
    }

    private Scored score(
            ChoiceRequest request, EndpointLoadState e, int rank, PromptHolders holders, double bound, long nowNanos) {
        double load = e.load(nowNanos);
        Reading reading = request.service().hasModelEngines()
                ? reading(request.prompt(), e, rank, holders, nowNanos)
                : Reading.NONE;
        double expected = request.service().hasModelEngines()
                ? (e.estimatedUnreadTokens(nowNanos) + reading.tokens) / EndpointLoadState.READ_TOKENS_PER_MS
                        + load * RUNNING_MS
                : plainMs(e, load);
        double cost =
                waitCost(request, expected) + reading.extraMs + rank * RANK_MS + e.failureScore(nowNanos) * FAILURE_MS;
        if (!settings.get().zone().equals(e.entry().zone())) {
            cost += OTHER_ZONE_MS;
        }
        if (load + 1 > bound) {
            cost += OVER_BOUND_MS;
        }
        if (e.isBlocked(nowNanos)) {
            cost += BLOCKED_MS;
        }
        return new Scored(e, cost, expected, reading);
    }

    /** Waiting costs little while the answer is sure to be on time, and much when it may be late. */
    private static double waitCost(ChoiceRequest request, double expectedMs) {
        double late = Math.max(0, expectedMs - ON_TIME_SHARE * request.objectiveMs());
        return ON_TIME_COST * expectedMs + LATE_COST * late;
    }

    /** What an engine has to read for a prompt, and from where it can fetch the rest. */
    private static Reading reading(Prompt prompt, EndpointLoadState e, int rank, PromptHolders holders, long nowNanos) {
        int shared = prompt.sharedTokens();
        int cached = e.cached().cachedTokens(prompt);
        int uncachedShared = Math.max(0, shared - cached);
        int own = Math.max(0, prompt.inputTokens() - Math.max(shared, cached));
        if (uncachedShared == 0) {
            return new Reading(own, 0, Optional.empty());
        }
        Optional<EndpointLoadState> holder = holders.bestHolder(e, cached);
        int held = holder.map(h -> h.cached().cachedTokens(prompt, nowNanos)).orElse(cached);
        int fetched = Math.max(0, Math.min(held, shared) - cached);
        int unread = uncachedShared - fetched;
        double extraMs = fetched > 0 ? FETCH_MS + fetched * FETCH_MS_PER_TOKEN : 0;
        double readMs = unread / EndpointLoadState.READ_TOKENS_PER_MS;
        extraMs += rank == 0 ? -(1 - FIRST_RANK_UNCACHED) * readMs : readMs;
        Optional<EndpointLoadState> source = unread > fetched ? holders.likelyHolder(e) : holder;
        return new Reading(own + unread, extraMs, source.map(EndpointLoadState::entry));
    }

    private static double plainMs(EndpointLoadState e, double load) {
        int slots = Math.max(1, e.entry().slots());
        double queued = Math.max(0, load - slots + 1);
        return PLAIN_WORK_MS * (queued / slots + load / slots);
    }

    private record Reading(int tokens, double extraMs, Optional<DiscoveredEndpoint> source) {
        private static final Reading NONE = new Reading(0, 0, Optional.empty());
    }

    private record Scored(EndpointLoadState endpoint, double cost, double expectedMs, Reading reading) {}
}
