package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Chooses the endpoint at which a request's answer is expected to begin first. The expected time is made of the prompt
 * tokens the engine has still to read, those of this prompt that it does not cache, and its load; failures and distance
 * add to it. All hosts rank engines for a shared prompt part in the same order, so that the part stays on one engine
 * until waiting there would cost more than reading it elsewhere. Used by one thread.
 */
public final class EndpointChooser {
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

    /** Failure score from which an engine is not asked for cached tokens. */
    private static final double MAX_SOURCE_FAILURES = 1;

    /** Load that is allowed beside the multiple of the mean: half a request below the platform's 3. */
    private static final double BOUND_SLACK = 2.5;

    /** Share of the multiple of the mean that is used, as loads are known late. */
    private static final double BOUND_SHARE = 0.85;

    /** Cost of an endpoint over the load bound, in milliseconds: taken only if all others are worse. */
    private static final double OVER_BOUND_MS = 3_000;

    /** Cost of an endpoint to which connections failed just now, in milliseconds. */
    private static final double BLOCKED_MS = 20_000;

    /** Requests a plain endpoint takes beyond its slots, as a multiple of the slots. */
    private static final double PLAIN_QUEUE = 1.5;

    private final EndpointLoads loads;
    private final Supplier<DispatchSettings> settings;
    private final CandidateSampling sampling;

    /** Makes a chooser over the known endpoints. */
    public EndpointChooser(EndpointLoads loads, Supplier<DispatchSettings> settings, CandidateSampling sampling) {
        this.loads = loads;
        this.settings = settings;
        this.sampling = sampling;
    }

    /** Chooses an endpoint or says why there is none. */
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> candidates = candidates(request);
        if (candidates.isEmpty()) {
            return Choice.none(Unserved.NO_ENDPOINT, 0);
        }
        double bound = loadBound(candidates, nowNanos);
        if (!request.service().modelEngines()) {
            candidates = sampling.sample(candidates);
        }
        long key = request.prompt().sharedKey();
        Scored best = null;
        for (EndpointLoadState e : candidates) {
            if (full(request, e, nowNanos)) {
                continue;
            }
            Scored s = score(request, e, rank(candidates, e, key), bound, nowNanos);
            if (best == null || s.cost < best.cost) {
                best = s;
            }
        }
        if (best == null) {
            return Choice.none(Unserved.BUSY, 0);
        }
        if (best.expectedMs > request.remainingMs()) {
            return Choice.none(Unserved.TOO_LATE, (long) best.expectedMs);
        }
        return new Choice(
                Optional.of(best.endpoint),
                (long) best.expectedMs,
                best.reading.tokens,
                best.reading.source,
                Unserved.NONE);
    }

    private List<EndpointLoadState> candidates(ChoiceRequest request) {
        List<EndpointLoadState> usable = new ArrayList<>();
        for (EndpointLoadState e : loads.ofService(request.service().name())) {
            if (!e.entry().draining() && !request.excluded().contains(e.entry().id())) {
                usable.add(e);
            }
        }
        return usable;
    }

    private double loadBound(List<EndpointLoadState> candidates, long nowNanos) {
        double sum = 0;
        for (EndpointLoadState e : candidates) {
            sum += e.load(nowNanos);
        }
        return BOUND_SHARE * settings.get().capFactor() * sum / candidates.size() + BOUND_SLACK;
    }

    private boolean full(ChoiceRequest request, EndpointLoadState e, long nowNanos) {
        int slots = e.entry().slots();
        if (slots <= 0) {
            return false;
        }
        double places = request.service().modelEngines() ? slots : slots * (1 + PLAIN_QUEUE);
        return e.load(nowNanos) >= places;
    }

    private static int rank(List<EndpointLoadState> candidates, EndpointLoadState e, long key) {
        if (key == 0) {
            return 0;
        }
        long own = affinity(e, key);
        int above = 0;
        for (EndpointLoadState c : candidates) {
            if (affinity(c, key) > own) {
                above++;
            }
        }
        return above;
    }

    private Scored score(ChoiceRequest request, EndpointLoadState e, int rank, double bound, long nowNanos) {
        double load = e.load(nowNanos);
        Reading reading = request.service().modelEngines() ? reading(request, e, rank, nowNanos) : Reading.NONE;
        double expected = request.service().modelEngines()
                ? (e.unread(nowNanos) + reading.tokens) / EndpointLoadState.READ_TOKENS_PER_MS + load * RUNNING_MS
                : plainMs(e, load);
        double cost =
                waitCost(request, expected) + reading.extraMs + rank * RANK_MS + e.failures(nowNanos) * FAILURE_MS;
        if (!settings.get().zone().equals(e.entry().zone())) {
            cost += OTHER_ZONE_MS;
        }
        if (load + 1 > bound) {
            cost += OVER_BOUND_MS;
        }
        if (e.blocked(nowNanos)) {
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
    private Reading reading(ChoiceRequest request, EndpointLoadState e, int rank, long nowNanos) {
        Prompt prompt = request.prompt();
        int shared = prompt.sharedTokens();
        int cached = e.cached().cachedTokens(prompt);
        int uncachedShared = Math.max(0, shared - cached);
        int own = Math.max(0, prompt.inputTokens() - Math.max(shared, cached));
        if (uncachedShared == 0) {
            return new Reading(own, 0, Optional.empty());
        }
        Optional<EndpointLoadState> holder = holder(request, e, cached, nowNanos);
        int held = holder.map(h -> h.cached().cachedTokens(prompt, nowNanos)).orElse(cached);
        int fetched = Math.max(0, Math.min(held, shared) - cached);
        int unread = uncachedShared - fetched;
        double extraMs = fetched > 0 ? FETCH_MS + fetched * FETCH_MS_PER_TOKEN : 0;
        double readMs = unread / EndpointLoadState.READ_TOKENS_PER_MS;
        extraMs += rank == 0 ? -(1 - FIRST_RANK_UNCACHED) * readMs : readMs;
        Optional<DiscoveredEndpoint> source =
                unread > fetched ? likelyHolder(request, e) : holder.map(EndpointLoadState::entry);
        return new Reading(own + unread, extraMs, source);
    }

    /** The engine that is known to cache most of the prompt beyond a number of tokens. */
    private Optional<EndpointLoadState> holder(
            ChoiceRequest request, EndpointLoadState target, int cached, long nowNanos) {
        if (request.service().bytesPerToken() == 0) {
            return Optional.empty();
        }
        EndpointLoadState best = null;
        int most = cached;
        for (EndpointLoadState e : loads.ofService(request.service().name())) {
            int tokens = e == target ? 0 : e.cached().cachedTokens(request.prompt(), nowNanos);
            if (tokens > most && !e.blocked(nowNanos) && e.failures(nowNanos) < MAX_SOURCE_FAILURES) {
                most = tokens;
                best = e;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The engine that other hosts are likely to have sent such prompts to: the first of the order but the target. */
    private Optional<DiscoveredEndpoint> likelyHolder(ChoiceRequest request, EndpointLoadState target) {
        long key = request.prompt().sharedKey();
        if (key == 0 || request.service().bytesPerToken() == 0) {
            return Optional.empty();
        }
        EndpointLoadState best = null;
        for (EndpointLoadState e : loads.ofService(request.service().name())) {
            if (e != target && (best == null || affinity(e, key) > affinity(best, key))) {
                best = e;
            }
        }
        return Optional.ofNullable(best).map(EndpointLoadState::entry);
    }

    private static long affinity(EndpointLoadState e, long key) {
        return RoutingHash.mix(key, RoutingHash.of(e.entry().id()));
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
