package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointListener;
import org.dragonflygw.core.peers.PromptHolding;

/** The load states of all known endpoints, by service. Used by one thread. */
public final class EndpointLoads implements EndpointListener {
    /** Tokens that an engine is taken to cache when the configuration does not say. */
    private static final long DEFAULT_CACHE_TOKENS = 300_000;

    /** Prompts that wait to be told to other hosts; more are not worth their bytes. */
    private static final int MAX_NEW_HOLDINGS = 64;

    private final List<PromptHolding> newHoldings = new ArrayList<>();
    private final Map<String, EndpointLoadState> byId = new HashMap<>();
    private final Map<String, List<EndpointLoadState>> byService = new HashMap<>();

    @Override
    public void onUpdated(DiscoveredEndpoint endpoint) {
        EndpointLoadState known = byId.get(endpoint.id());
        if (known != null && known.entry().sameIncarnation(endpoint)) {
            known.entry(endpoint);
            return;
        }
        EndpointLoadState state = new EndpointLoadState(endpoint, DEFAULT_CACHE_TOKENS);
        byId.put(endpoint.id(), state);
        byService.computeIfAbsent(endpoint.service(), s -> new ArrayList<>()).add(state);
    }

    @Override
    public void onRemoved(DiscoveredEndpoint endpoint) {
        EndpointLoadState state = byId.remove(endpoint.id());
        if (state != null) {
            byService.get(endpoint.service()).remove(state);
        }
    }

    /** Notes a request that is sent, and the prompt tokens that the endpoint has to read for it. */
    public void onSent(EndpointLoadState endpoint, Prompt prompt, long uncachedTokens, long nowNanos) {
        endpoint.onSent(prompt, uncachedTokens, nowNanos);
        if (prompt.sharedTokens() > 0 && newHoldings.size() < MAX_NEW_HOLDINGS) {
            newHoldings.add(new PromptHolding(endpoint.entry().id(), prompt.sharedParts()));
        }
    }

    /** The prompt starts that were sent to endpoints since the last call, known ones too, for hosts that are new. */
    public List<PromptHolding> takeNewHoldings() {
        List<PromptHolding> taken = List.copyOf(newHoldings);
        newHoldings.clear();
        return taken;
    }

    /** The endpoints of a service, leaving ones included. */
    public List<EndpointLoadState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** The state of one endpoint. */
    public Optional<EndpointLoadState> get(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** All states. */
    public Collection<EndpointLoadState> all() {
        return byId.values();
    }
}
