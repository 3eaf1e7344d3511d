package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointListener;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.peers.PromptHolding;
import org.dragonflygw.core.ratelimit.EndpointRates;

/** The load states of all known endpoints, indexed by id and by service. Not thread-safe. */
public final class EndpointLoads implements EndpointListener {
    /** Request time assumed before the first request has ended, in milliseconds; that of a short stream. */
    private static final double INITIAL_REQUEST_MS = 1_000;

    /** Largest number of prompt prefixes queued for the next report to peers; more are not worth the traffic. */
    private static final int MAX_NEW_HOLDINGS = 64;

    private final List<PromptHolding> newHoldings = new ArrayList<>();
    private final LeavingEndpoints leaving = new LeavingEndpoints();
    private final QuietTimes quietTimes = new QuietTimes();
    private final EndpointRates rates = new EndpointRates();
    private final EvacuatedZones evacuated = new EvacuatedZones();
    private final Map<String, EndpointLoadState> byId = new HashMap<>();

    /** States without an entry whose endpoints still run requests of this host, by instance. */
    private final Map<String, EndpointLoadState> removedRunning = new HashMap<>();

    private final Map<String, ServiceTraffic> byService = new HashMap<>();
    private final Map<Preference, Long> choices = new EnumMap<>(Preference.class);

    @Override
    public void onUpdated(DiscoveredEndpoint endpoint) {
        EndpointLoadState known = byId.get(endpoint.id());
        if (known != null && known.entry().sameIncarnation(endpoint)) {
            known.entry(endpoint);
            return;
        }
        EndpointLoadState state = stateOf(endpoint);
        if (leaving.contains(endpoint)) {
            state.markLeaving();
        }
        byId.put(endpoint.id(), state);
        state.traffic().add(state);
    }

    /** Returns the state of an instance whose entry came back while its requests run, or a new one. */
    private EndpointLoadState stateOf(DiscoveredEndpoint endpoint) {
        EndpointLoadState removed = removedRunning.remove(endpoint.instanceKey());
        if (removed != null
                && removed.entry().sameIncarnation(endpoint)
                && removed.entry().service().equals(endpoint.service())) {
            removed.entry(endpoint);
            return removed;
        }
        ServiceTraffic traffic =
                byService.computeIfAbsent(endpoint.service(), s -> new ServiceTraffic(INITIAL_REQUEST_MS));
        return new EndpointLoadState(
                endpoint, traffic, quietTimes.of(endpoint), rates.of(endpoint.id(), endpoint.startedMs()));
    }

    @Override
    public void onRemoved(DiscoveredEndpoint endpoint) {
        EndpointLoadState state = byId.remove(endpoint.id());
        if (state == null) {
            return;
        }
        state.traffic().remove(state);
        removedRunning.values().removeIf(s -> s.inFlight() == 0);
        if (state.inFlight() > 0) {
            removedRunning.put(state.entry().instanceKey(), state);
        }
    }

    /**
     * Records that an instance of an endpoint said in a response that it is leaving.
     *
     * @param startedMs start of the instance, as in its entry
     * @param sinceNanos when a host first heard it, on the monotonic clock
     * @return whether this was not known before
     */
    public boolean onLeaving(String id, long startedMs, long sinceNanos) {
        if (!leaving.add(id, startedMs, sinceNanos)) {
            return false;
        }
        EndpointLoadState state = byId.get(id);
        if (state != null && state.entry().startedMs() == startedMs) {
            state.markLeaving();
        }
        return true;
    }

    /** Records that an instance of an endpoint ended or refused a connection. */
    public void onConnectionLost(DiscoveredEndpoint endpoint, long nowNanos) {
        current(endpoint).ifPresent(e -> e.onConnectionLost(nowNanos));
    }

    /** Records bytes of an instance of an endpoint on a connection that was opened at a time of the monotonic clock. */
    public void onHeard(DiscoveredEndpoint endpoint, long openedNanos) {
        current(endpoint).ifPresent(e -> e.onHeard(openedNanos));
    }

    private Optional<EndpointLoadState> current(DiscoveredEndpoint endpoint) {
        return get(endpoint.id()).filter(e -> e.entry().sameIncarnation(endpoint));
    }

    /** Records that an instance of an endpoint wants no requests of this host until a time of the monotonic clock. */
    public void onQuiet(DiscoveredEndpoint endpoint, long untilNanos) {
        quietTimes.of(endpoint).extend(untilNanos);
    }

    /**
     * Records that an endpoint says that it is brittle.
     *
     * @param perSecond rejections in a second that it bears
     * @return whether this was not known of its service before
     */
    public boolean onBrittle(DiscoveredEndpoint endpoint, int perSecond, long nowNanos) {
        ServiceTraffic traffic = byService.get(endpoint.service());
        return traffic != null && traffic.brittleness().onStated(perSecond, nowNanos);
    }

    /** Returns the rejections in a second that an endpoint bears; nothing if its service is not brittle. */
    public OptionalInt borneRejections(DiscoveredEndpoint endpoint, long nowNanos) {
        return isBrittle(endpoint.service(), nowNanos)
                ? OptionalInt.of(byService.get(endpoint.service()).brittleness().rejectionsPerSecond())
                : OptionalInt.empty();
    }

    /** Returns whether the endpoints of a service are brittle. */
    public boolean isBrittle(String service, long nowNanos) {
        ServiceTraffic traffic = byService.get(service);
        return traffic != null && traffic.brittleness().isBrittle(nowNanos);
    }

    /** Returns the number of services whose endpoints are brittle. */
    public long brittleCount(long nowNanos) {
        return byService.values().stream()
                .filter(t -> t.brittleness().isBrittle(nowNanos))
                .count();
    }

    /** Returns the rates of requests that instances of endpoints take. */
    public EndpointRates rates() {
        return rates;
    }

    /** Returns the availability zones whose endpoints get no new requests. */
    public EvacuatedZones evacuated() {
        return evacuated;
    }

    /** Returns whether an endpoint gets no new requests because its availability zone is evacuated. */
    public boolean isEvacuated(EndpointLoadState endpoint) {
        return evacuated.contains(endpoint.entry().zone());
    }

    /** Returns the number of requests of this host that run in evacuated availability zones. */
    public long requestsInEvacuatedZones() {
        return byId.values().stream()
                .filter(this::isEvacuated)
                .mapToLong(EndpointLoadState::inFlight)
                .sum();
    }

    /** Returns the number of known endpoints in an availability zone. */
    public int countIn(String zone) {
        return (int) byId.values().stream()
                .filter(e -> e.entry().zone().equals(zone))
                .count();
    }

    /** Returns the recent leaves, for a report to peers. */
    public List<LeavingEndpoint> recentLeaves(long nowNanos) {
        return leaving.recent(nowNanos);
    }

    /** Counts a choice by which a request is sent. */
    public void onChosen(Choice choice) {
        choices.merge(choice.preference(), 1L, Long::sum);
    }

    /** Returns the number of requests that were sent to endpoints of a class. */
    public long chosenCount(Preference preference) {
        return choices.getOrDefault(preference, 0L);
    }

    /**
     * Records a request that is sent to an endpoint.
     *
     * @param uncachedTokens number of prompt tokens that the endpoint has to read for the request
     */
    public void onSent(EndpointLoadState endpoint, Prompt prompt, long uncachedTokens, long nowNanos) {
        endpoint.onSent(prompt, uncachedTokens, nowNanos);
        if (prompt.sharedTokens() > 0 && newHoldings.size() < MAX_NEW_HOLDINGS) {
            newHoldings.add(new PromptHolding(endpoint.entry().id(), prompt.sharedParts()));
        }
    }

    /**
     * Removes and returns the prompt prefixes that were sent to endpoints since the last call. Prefixes that were
     * returned before are included again, for hosts that joined since.
     */
    public List<PromptHolding> takeNewHoldings() {
        List<PromptHolding> taken = List.copyOf(newHoldings);
        newHoldings.clear();
        return taken;
    }

    /** Records the memory of each engine of a service, in tokens. */
    void onMemoryConfigured(String service, long tokens) {
        ServiceTraffic traffic = byService.get(service);
        if (traffic != null) {
            traffic.memoryTokens(tokens);
        }
    }

    /** Returns the endpoints of a service, including draining ones. */
    public List<EndpointLoadState> ofService(String service) {
        ServiceTraffic traffic = byService.get(service);
        return traffic == null ? List.of() : traffic.endpoints();
    }

    /**
     * Records that this host lost its paths to a service, or has them again: what failed lately says nothing of the
     * endpoints, neither to this host nor to those that it reports to.
     */
    public void onPathsChanged(String service) {
        ofService(service).forEach(EndpointLoadState::forgetFailures);
    }

    /** Returns the largest load of an endpoint as a multiple of the mean of its service, in percent; 100 if none. */
    public long maxSpreadPercent(long nowNanos) {
        return byService.values().stream()
                .mapToLong(t -> t.spreadPercent(nowNanos))
                .max()
                .orElse(100);
    }

    /** Returns the largest mean age of what is known of the loads of a service's endpoints, in milliseconds. */
    public long maxKnowledgeAgeMs(long nowNanos) {
        return byService.values().stream()
                .mapToLong(t -> t.ageMs(nowNanos))
                .max()
                .orElse(0);
    }

    /** Returns the endpoints of a service in availability zones that are not evacuated, including draining ones. */
    public List<EndpointLoadState> outsideEvacuatedZones(String service) {
        List<EndpointLoadState> all = ofService(service);
        return evacuated.count() == 0
                ? all
                : all.stream().filter(e -> !isEvacuated(e)).toList();
    }

    /** Returns the state of the endpoint with an id. */
    public Optional<EndpointLoadState> get(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the states of all endpoints. */
    public Collection<EndpointLoadState> all() {
        return byId.values();
    }
}
