package org.dragonflygw.core.paths;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.exchange.EndpointProbe;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * Whether this host reaches the endpoints of each service. Failures of requests, and silence, only raise a suspicion;
 * new connections to a few endpoints decide. So one endpoint that ended or is silent does not count as a lost path, and
 * connections that live on while new ones fail do not hide one. Whether the endpoints are down or only out of reach of
 * this host cannot be told here; other hosts can tell. Not thread-safe.
 */
public final class EndpointPaths {
    /** Endpoints that are probed at once on a suspicion. */
    private static final int PROBES_AT_ONCE = 3;

    /** Endpoints that are probed in one round at most, as long as all refuse connections: all may have ended but one. */
    private static final int MAX_PROBES_PER_ROUND = 12;

    /** Endpoints that are probed at once while the paths are lost; a whole fleet may do so when a service is down. */
    private static final int PROBES_WHILE_LOST = 1;

    /** Longest duration of a round in nanoseconds, above that of a probe; probes may leave their result out. */
    private static final long MAX_ROUND_NANOS = 600_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Map<String, ServicePaths> byService = new HashMap<>();
    private final Map<String, ProbeRound> rounds = new HashMap<>();
    private final EndpointLoads loads;
    private final EndpointProbe probe;
    private final Listener listener;
    private final Random random;
    private final EventLog log;
    private final MonotonicClock clock;

    /** Is told when the paths to a service are lost and when they are back. */
    public interface Listener {
        /** No probed endpoint of the service could be reached. */
        void onLost(String service);

        /** An endpoint of the service can be reached again. */
        void onRegained(String service);
    }

    /** Creates paths that count as reached until probes show otherwise. */
    public EndpointPaths(
            EndpointLoads loads,
            EndpointProbe probe,
            Listener listener,
            Random random,
            EventLog log,
            MonotonicClock clock) {
        this.loads = loads;
        this.probe = probe;
        this.listener = listener;
        this.random = random;
        this.log = log;
        this.clock = clock;
    }

    /** Returns whether no probed endpoint of a service could be reached lately. */
    public boolean isLost(String service) {
        ServicePaths paths = byService.get(service);
        return paths != null && paths.isLost();
    }

    /** Returns the number of services whose endpoints cannot be reached. */
    public long lostCount() {
        return byService.values().stream().filter(ServicePaths::isLost).count();
    }

    /** Records a request that is sent to an endpoint on an open connection. */
    public void onSent(DiscoveredEndpoint endpoint) {
        pathsOf(endpoint.service()).onSent(clock.nanos());
    }

    /** Records bytes that an endpoint sent. */
    public void onHeard(DiscoveredEndpoint endpoint) {
        pathsOf(endpoint.service()).onHeard();
    }

    /** Records that a connection to an endpoint could not be opened. */
    public void onConnectionFailed(DiscoveredEndpoint endpoint) {
        pathsOf(endpoint.service()).suspect(ServicePaths.Suspicion.CONNECTION_FAILED);
    }

    /** Records that a connection was lost before the response to the request on it began. */
    public void onConnectionLost(DiscoveredEndpoint endpoint) {
        pathsOf(endpoint.service()).suspect(ServicePaths.Suspicion.CONNECTION_LOST);
    }

    /** Ends rounds of probes that took too long and starts those that are due; to be called every 100 ms or so. */
    public void check() {
        long now = clock.nanos();
        for (Map.Entry<String, ServicePaths> e : List.copyOf(byService.entrySet())) {
            ProbeRound running = rounds.get(e.getKey());
            if (running != null && now - running.startNanos() >= MAX_ROUND_NANOS) {
                end(e.getKey(), running);
            }
            if (!rounds.containsKey(e.getKey())) {
                startIfDue(e.getKey(), e.getValue(), now);
            }
        }
    }

    private ServicePaths pathsOf(String service) {
        return byService.computeIfAbsent(service, s -> new ServicePaths());
    }

    private void startIfDue(String service, ServicePaths paths, long now) {
        ServicePaths.Suspicion reason = paths.due(now);
        if (reason == ServicePaths.Suspicion.NONE) {
            return;
        }
        paths.onRoundStarted(now);
        List<EndpointLoadState> endpoints = new ArrayList<>(loads.ofService(service));
        Collections.shuffle(endpoints, random);
        int most = Math.min(paths.isLost() ? PROBES_WHILE_LOST : MAX_PROBES_PER_ROUND, endpoints.size());
        if (most == 0) {
            return; // Nothing is known of a path to no endpoint.
        }
        ProbeRound round = new ProbeRound(reason, endpoints.subList(0, most), now);
        rounds.put(service, round);
        ask(service, round);
    }

    private void ask(String service, ProbeRound round) {
        for (EndpointLoadState e : round.next(PROBES_AT_ONCE)) {
            probe.probe(e.entry(), result -> onResult(service, round, result));
        }
    }

    private void onResult(String service, ProbeRound round, EndpointProbe.Result result) {
        if (round.add(result)) {
            end(service, round);
        } else if (round.mayAskMore()) {
            ask(service, round);
        }
    }

    private void end(String service, ProbeRound round) {
        round.end();
        rounds.remove(service, round);
        ServicePaths paths = pathsOf(service);
        boolean wasLost = paths.isLost();
        if (round.reached()) {
            paths.onReached();
        } else if (round.showsLoss()) {
            paths.onLost();
        }
        if (wasLost != paths.isLost()) {
            logChange(service, round, paths.isLost());
            tell(service, paths.isLost());
        }
    }

    private void tell(String service, boolean lost) {
        if (!lost) {
            listener.onRegained(service);
            return;
        }
        listener.onLost(service);
        loads.all().forEach(e -> pathsOf(e.entry().service()).suspect(ServicePaths.Suspicion.OTHER_SERVICE_LOST));
    }

    private void logChange(String service, ProbeRound round, boolean lost) {
        log.line(LogTopic.PATHS)
                .with("outcome", lost ? "lost" : "regained")
                .with("service", service)
                .with("reason", round.reason().name())
                .with("probed", round.asked())
                .with("failed", round.failed())
                .with("probeMs", (clock.nanos() - round.startNanos()) / NANOS_PER_MS)
                .with("endpoints", loads.ofService(service).size())
                .end();
    }
}
