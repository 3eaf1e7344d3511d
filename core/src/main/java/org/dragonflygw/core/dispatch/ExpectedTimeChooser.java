package org.dragonflygw.core.dispatch;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Chooses the endpoint with the lowest cost. The cost is based on the expected time until the response begins: the time
 * for the prompt tokens that the engine has not read (prefilled) yet, for the uncached tokens of this prompt, and for
 * the load. Failures, a different availability zone and other penalties add to the cost. All hosts rank engines for a
 * shared prompt prefix in the same order, so that a prefix stays on its first engines, as many as its traffic needs, until
 * waiting there costs more than reading the prefix elsewhere. Not thread-safe.
 */
public final class ExpectedTimeChooser implements EndpointChooser {
    /** Cost per unit of failure score, in milliseconds; higher than reading a long prompt again. */
    private static final double FAILURE_PENALTY_MS = 400;

    /** Cost of a different availability zone, in milliseconds, for latency and traffic charges. */
    private static final double OTHER_ZONE_PENALTY_MS = 6;

    /** Cost per rank in the rendezvous order of the prompt prefix, in milliseconds. */
    private static final double RANK_PENALTY_MS = 8;

    /**
     * Share of the reading time charged for uncached tokens at the first engine in the rendezvous order. Other hosts
     * have probably sent the prefix to this engine even if this host has not.
     */
    private static final double FIRST_RANK_UNCACHED_SHARE = 0.4;

    /**
     * Share of the cost of a fetch that is charged at a home engine of the prompt prefix. Once it has the prefix, later
     * requests find it there.
     */
    private static final double HOME_FETCH_SHARE = 0.1;

    /**
     * Cost per running request of an engine in milliseconds, beyond the expected time, to keep the load even. It counts in
     * full only where hosts cannot react in time to each other's requests; in small fleets caches count more.
     */
    private static final double LOAD_COST_MS = 3.75;

    /** Requests that others sent to an engine since their reports, from which the cost of load counts in full. */
    private static final double FULL_COST_SENT = 2;

    /** Standard deviation of a load, in requests, from which it is drawn rather than taken as known. */
    private static final double MIN_DEVIATION = 0.1;

    /** Share of the objective up to which an expected time is considered on time, as estimates are rough. */
    private static final double ON_TIME_SHARE = 0.4;

    /** Cost per millisecond of expected time. */
    private static final double COST_PER_MS = 0.5;

    /** Additional cost per millisecond of expected time beyond {@link #ON_TIME_SHARE} of the objective. */
    private static final double LATE_COST_PER_MS = 2;

    /** Cost of setting up the transfer of a cached prefix from another engine, in milliseconds. */
    private static final double FETCH_SETUP_MS = 8;

    /** Cost per fetched token, in milliseconds. Transfers are fast but charged by size. */
    private static final double FETCH_MS_PER_TOKEN = 0.01;

    /** Load allowed on top of the multiple of the mean, in requests; half a request below the platform's limit of 3. */
    private static final double LOAD_BOUND_SLACK_REQUESTS = 2.5;

    /** Share of the configured multiple of the mean that is used, as load reports are delayed. */
    private static final double LOAD_BOUND_SHARE = 0.85;

    /** Cost per request above the load bound, in milliseconds; higher than what any prompt costs elsewhere. */
    private static final double OVER_BOUND_MS_PER_REQUEST = 3_000;

    /** Cost of an endpoint to which connections failed recently, in milliseconds; higher than that of any load. */
    private static final double BLOCKED_PENALTY_MS = 10_000_000;

    /** Time after which a request that only an evacuated zone could serve may be repeated, in milliseconds. */
    private static final long EVACUATED_RETRY_MS = 1_000;

    private static final double NANOS_PER_MS = 1e6;

    private final EndpointLoads loads;
    private final UsableEndpoints usable;
    private final Supplier<DispatchSettings> settings;
    private final CandidateSampler sampler;
    private final PrefixSpread spread;
    private final BrittleAdmission brittle;
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param loads known endpoints with their loads
     * @param settings supplier of the current settings
     * @param sampler preselects the endpoints of plain services
     * @param random source of the samples of engines; differs between hosts
     */
    public ExpectedTimeChooser(
            EndpointLoads loads,
            Supplier<DispatchSettings> settings,
            CandidateSampler sampler,
            RandomGenerator random) {
        this.loads = loads;
        this.usable = new UsableEndpoints(loads);
        this.settings = settings;
        this.sampler = sampler;
        this.random = random;
        this.spread = new PrefixSpread(random);
        this.brittle = new BrittleAdmission(random);
    }

    /** Creates a chooser whose samples are the same in each run. */
    public ExpectedTimeChooser(EndpointLoads loads, Supplier<DispatchSettings> settings, CandidateSampler sampler) {
        this(loads, settings, sampler, new SplittableRandom(0));
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> candidates = usable.all(request, nowNanos);
        if (candidates.isEmpty()) {
            return noCandidate(request, nowNanos);
        }
        double bound = loadBound(request, candidates, nowNanos);
        if (loads.isBrittle(request.service().name(), nowNanos)) {
            List<EndpointLoadState> open = usable.notFull(request, nowNanos);
            candidates = brittle.admit(open, candidates.get(0).traffic(), nowNanos);
        } else if (!request.service().hasModelEngines()) {
            candidates = sampler.sample(mostPreferred(request, bound, nowNanos), nowNanos);
        }
        ScoredEndpoint best = best(request, candidates, bound, nowNanos);
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
                bound,
                best.preference,
                UnavailableReason.NONE);
    }

    private Choice noCandidate(ChoiceRequest request, long nowNanos) {
        OptionalLong waitNanos = usable.shortestWaitNanos(request, nowNanos);
        if (waitNanos.isEmpty() && usable.anyEvacuated(request, nowNanos)) {
            return Choice.none(UnavailableReason.EVACUATED, EVACUATED_RETRY_MS);
        }
        if (waitNanos.isEmpty()) {
            return Choice.none(
                    request.origin().isPresent() ? UnavailableReason.NO_VERSION : UnavailableReason.NO_ENDPOINT, 0);
        }
        long waitMs = (long) Math.ceil(waitNanos.getAsLong() / NANOS_PER_MS);
        UnavailableReason reason =
                usable.anyLimited(request, nowNanos) ? UnavailableReason.LIMITED : UnavailableReason.QUIET;
        return Choice.none(reason, waitMs);
    }

    private ScoredEndpoint best(
            ChoiceRequest request, List<EndpointLoadState> candidates, double bound, long nowNanos) {
        if (candidates.isEmpty()) {
            return null;
        }
        RendezvousOrder order = new RendezvousOrder(candidates, request.prompt().sharedKey());
        PromptSources sources = sources(request, nowNanos);
        PrefixSpread.Selection selection = spread.select(
                request.prompt().sharedKey(),
                candidates.size(),
                candidates.get(0).traffic(),
                nowNanos);
        ScoredEndpoint best = null;
        ScoredEndpoint bestOther = null;
        for (int i = 0; i < candidates.size(); i++) {
            EndpointLoadState e = candidates.get(i);
            boolean selected = selection.contains(order.rank(i));
            if ((!selected && best != null && best.isPreferred()) || UsableEndpoints.isFull(request, e, nowNanos)) {
                continue;
            }
            int rank = Math.max(0, order.rank(i) - selection.homes() + 1);
            ScoredEndpoint s = score(request, e, rank, sources, bound, nowNanos);
            if (selected) {
                best = s.orBetter(best);
            } else {
                bestOther = s.orBetter(bestOther);
            }
        }
        if (best == null || (bestOther != null && bestOther.preference.isAbove(best.preference))) {
            return bestOther;
        }
        return best;
    }

    private PromptSources sources(ChoiceRequest request, long nowNanos) {
        CatalogService service = request.service();
        boolean mayFetch = service.hasModelEngines() && service.bytesPerToken() > 0;
        List<EndpointLoadState> engines = mayFetch ? loads.outsideEvacuatedZones(service.name()) : List.of();
        return new PromptSources(engines, request.prompt(), nowNanos);
    }

    /** The mean is that of the service or of the candidates, whichever is lower: others may run few requests. */
    private double loadBound(ChoiceRequest request, List<EndpointLoadState> candidates, long nowNanos) {
        List<EndpointLoadState> all = loads.ofService(request.service().name());
        double mean = meanLoad(all, nowNanos);
        if (candidates.size() < all.size()) {
            mean = Math.min(mean, meanLoad(candidates, nowNanos));
        }
        return LOAD_BOUND_SHARE * settings.get().capFactor() * mean + LOAD_BOUND_SLACK_REQUESTS;
    }

    /** Returns the endpoints that are not full and of the best class among these, by load and not by time. */
    private List<EndpointLoadState> mostPreferred(ChoiceRequest request, double bound, long nowNanos) {
        Map<Preference, List<EndpointLoadState>> classes = usable.notFull(request, nowNanos).stream()
                .collect(Collectors.groupingBy(
                        e -> preference(request, e, e.load(nowNanos), bound, nowNanos),
                        () -> new EnumMap<>(Preference.class),
                        Collectors.toList()));
        return classes.isEmpty() ? List.of() : classes.values().iterator().next();
    }

    private static Preference preference(
            ChoiceRequest request, EndpointLoadState e, double load, double bound, long nowNanos) {
        if (countedLoad(e, load, nowNanos) + 1 > bound || e.isBlocked(nowNanos)) {
            return Preference.LAST_RESORT;
        }
        return request.avoided().contains(e.entry().id()) ? Preference.AVOIDED : Preference.PREFERRED;
    }

    private static double meanLoad(List<EndpointLoadState> endpoints, long nowNanos) {
        return endpoints.stream()
                .mapToDouble(e -> e.meanedLoad(nowNanos))
                .average()
                .orElse(0);
    }

    /** Returns the load that is compared with the bound; the one that was drawn counts only where there is knowledge. */
    private static double countedLoad(EndpointLoadState e, double drawnLoad, long nowNanos) {
        double known = e.boundedLoad(nowNanos);
        return e.isNew(nowNanos) ? known : Math.max(drawnLoad, known);
    }

    private ScoredEndpoint score(
            ChoiceRequest request, EndpointLoadState e, int rank, PromptSources sources, double bound, long nowNanos) {
        double load = drawnLoad(e, nowNanos);
        PromptReading reading = request.service().hasModelEngines()
                ? reading(request.prompt(), e, rank, sources, nowNanos)
                : PromptReading.NONE;
        double expected = request.service().hasModelEngines()
                ? e.speeds().firstTokenMs(e.estimatedUnreadTokens(nowNanos) + reading.tokens, load, nowNanos)
                : expectedPlainMs(e, load, nowNanos);
        double cost = waitCost(request, expected)
                + reading.extraMs
                + (request.service().hasModelEngines() ? load * loadCostMs(e, nowNanos) : 0)
                + rank * RANK_PENALTY_MS
                + e.failureScore(nowNanos) * FAILURE_PENALTY_MS;
        if (!settings.get().zone().equals(e.entry().zone())) {
            cost += OTHER_ZONE_PENALTY_MS;
        }
        cost += Math.max(0, countedLoad(e, load, nowNanos) + 1 - bound) * OVER_BOUND_MS_PER_REQUEST;
        if (e.isBlocked(nowNanos)) {
            cost += BLOCKED_PENALTY_MS;
        }
        Preference preference = preference(request, e, load, bound, nowNanos);
        if (preference != Preference.LAST_RESORT && expected > request.remainingMs()) {
            preference = Preference.TOO_LATE;
        }
        return new ScoredEndpoint(e, preference, cost, expected, reading);
    }

    private static double loadCostMs(EndpointLoadState e, long nowNanos) {
        return LOAD_COST_MS * Math.min(1, e.traffic().sentSinceReports(nowNanos) / FULL_COST_SENT);
    }

    /**
     * Returns a load that the endpoint may have by now, drawn from what is known. With old knowledge hosts so draw
     * different loads, and do not all choose the endpoint that was the least loaded one at the time of the reports.
     */
    private double drawnLoad(EndpointLoadState e, long nowNanos) {
        double deviation = e.loadDeviation(nowNanos);
        double load = e.load(nowNanos);
        return deviation < MIN_DEVIATION ? load : Math.max(e.inFlight(), load + deviation * random.nextGaussian());
    }

    /** Returns a cost that is low while the response is expected on time and rises steeply when it may be late. */
    private static double waitCost(ChoiceRequest request, double expectedMs) {
        double lateMs = Math.max(0, expectedMs - ON_TIME_SHARE * request.objectiveMs());
        return COST_PER_MS * expectedMs + LATE_COST_PER_MS * lateMs;
    }

    /** Estimates the tokens that an engine has to read for a prompt, and the engine it can fetch cached tokens from. */
    private static PromptReading reading(
            Prompt prompt, EndpointLoadState e, int rank, PromptSources sources, long nowNanos) {
        int shared = prompt.sharedTokens();
        int cachedTokens = e.cached().cachedTokens(prompt);
        int uncachedShared = Math.max(0, shared - cachedTokens);
        int ownTokens = Math.max(0, prompt.inputTokens() - Math.max(shared, cachedTokens));
        if (uncachedShared == 0) {
            return new PromptReading(ownTokens, 0, Optional.empty());
        }
        PromptHolders holders = sources.forTarget(e);
        Optional<EndpointLoadState> holder = holders.bestHolder(e, cachedTokens);
        int fetchableTokens =
                holder.map(h -> h.cached().cachedTokens(prompt, nowNanos)).orElse(cachedTokens);
        int fetchedTokens = Math.max(0, Math.min(fetchableTokens, shared) - cachedTokens);
        int unreadTokens = uncachedShared - fetchedTokens;
        double extraMs = fetchedTokens > 0 ? FETCH_SETUP_MS + fetchedTokens * FETCH_MS_PER_TOKEN : 0;
        if (rank == 0) {
            extraMs *= HOME_FETCH_SHARE;
        }
        double readMs = e.speeds().readMs(unreadTokens, nowNanos);
        extraMs += rank == 0 ? -(1 - FIRST_RANK_UNCACHED_SHARE) * readMs : readMs;
        Optional<EndpointLoadState> source = unreadTokens > fetchedTokens ? holders.likelyHolder(e) : holder;
        return new PromptReading(ownTokens + unreadTokens, extraMs, source.map(EndpointLoadState::entry));
    }

    private static double expectedPlainMs(EndpointLoadState e, double load, long nowNanos) {
        int slots = Math.max(1, e.entry().slots());
        double queued = Math.max(0, load - slots + 1);
        return e.speeds().plainMs(nowNanos) * (queued / slots + load / slots);
    }

    /**
     * Prompt tokens that an engine has to read.
     *
     * @param extraMs cost of fetching and reading the shared prefix, in milliseconds; negative at the first engine
     * @param source engine from which cached tokens can be fetched
     */
    private record PromptReading(int tokens, double extraMs, Optional<DiscoveredEndpoint> source) {
        private static final PromptReading NONE = new PromptReading(0, 0, Optional.empty());
    }

    /** A candidate with its cost. */
    private record ScoredEndpoint(
            EndpointLoadState endpoint, Preference preference, double cost, double expectedMs, PromptReading reading) {
        boolean isPreferred() {
            return preference == Preference.PREFERRED;
        }

        /** Returns the better of this candidate and another one, which may be null. */
        ScoredEndpoint orBetter(ScoredEndpoint other) {
            if (other == null) {
                return this;
            }
            if (preference != other.preference) {
                return preference.isAbove(other.preference) ? this : other;
            }
            return cost < other.cost ? this : other;
        }
    }
}
