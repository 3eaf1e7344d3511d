package org.dragonflygw.core.warmup;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointListener;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.ratelimit.ColdPeriod;
import org.dragonflygw.core.ratelimit.ColdSource;
import org.dragonflygw.core.ratelimit.EndpointRate;
import org.dragonflygw.core.ratelimit.EndpointRates;

/**
 * Finds out which endpoints are cold, from their entries, their start and their responses, and limits them as if they
 * named the limit of their service. Of several ends of a cold period the latest holds; none is later than the configured
 * duration after it was heard. Not thread-safe.
 */
public final class WarmupTracker implements EndpointListener {
    /** Longest remaining time that is plausible, in milliseconds. */
    private static final long MAX_LEFT_MS = 3_600_000;

    /** Maximum number of endpoints whose implausible values are remembered, so that each is logged once. */
    private static final int MAX_IMPLAUSIBLE = 1_000;

    private static final double HUNDREDTHS = 100;
    private static final long NANOS_PER_MS = 1_000_000;

    private final EndpointRates rates;
    private final Supplier<Optional<Catalog>> catalog;
    private final BooleanSupplier listed;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final EventLog log;
    private final Set<String> known = new HashSet<>();
    private final Set<EndpointRate> logged = new HashSet<>();
    private final Map<EndpointRate, String> services = new HashMap<>();
    private final Set<String> implausible = new HashSet<>();

    /** What was heard before there was a configuration. */
    private final List<Claim> pending = new ArrayList<>();

    /** What was heard of the remaining cold time of an instance, and when. */
    private record Claim(DiscoveredEndpoint endpoint, ColdSource source, long leftMs, long atNanos, long atMs) {}

    /**
     * Creates a tracker.
     *
     * @param catalog supplies the configuration in force
     * @param listed whether this process has applied its first list of endpoints; those that appear later count as cold
     *     from their start
     */
    public WarmupTracker(
            EndpointRates rates,
            Supplier<Optional<Catalog>> catalog,
            BooleanSupplier listed,
            MonotonicClock clock,
            InstantSource wallClock,
            EventLog log) {
        this.rates = rates;
        this.catalog = catalog;
        this.listed = listed;
        this.clock = clock;
        this.wallClock = wallClock;
        this.log = log;
    }

    @Override
    public void onUpdated(DiscoveredEndpoint endpoint) {
        boolean appeared = known.add(endpoint.instanceKey()) && listed.getAsBoolean();
        if (endpoint.warmupLeftMs() != 0) {
            hear(endpoint, ColdSource.ENTRY, endpoint.warmupLeftMs());
        }
        if (appeared && endpoint.startedMs() > 0) {
            hear(endpoint, ColdSource.START, 0);
        }
    }

    @Override
    public void onRemoved(DiscoveredEndpoint endpoint) {
        known.remove(endpoint.instanceKey());
        pending.removeIf(c -> c.endpoint.instanceKey().equals(endpoint.instanceKey()));
    }

    /**
     * Records that a response says that its endpoint is cold.
     *
     * @param leftMs remaining time in milliseconds; negative if it cannot be read
     */
    public void onResponse(DiscoveredEndpoint endpoint, long leftMs) {
        hear(endpoint, ColdSource.RESPONSE, leftMs);
    }

    private void hear(DiscoveredEndpoint endpoint, ColdSource source, long leftMs) {
        Claim claim = new Claim(endpoint, source, leftMs, clock.nanos(), wallClock.millis());
        if (catalog.get().isEmpty()) {
            pending.removeIf(c -> c.source == source && c.endpoint.instanceKey().equals(endpoint.instanceKey()));
            pending.add(claim);
            return;
        }
        apply(claim);
    }

    private void apply(Claim claim) {
        Optional<CatalogService> service = limitedService(claim.endpoint.service());
        if (service.isEmpty() || !isPlausible(claim)) {
            return;
        }
        long leftMs = Math.min(service.get().warmupMs(), leftMs(claim, service.get()));
        if (leftMs <= 0) {
            return;
        }
        EndpointRate rate = rates.of(claim.endpoint.id(), claim.endpoint.startedMs());
        long now = clock.nanos();
        long untilNanos = claim.atNanos + leftMs * NANOS_PER_MS;
        rate.extendCold(new ColdPeriod(untilNanos, service.get().warmupPerSecond(), claim.source), now);
        services.put(rate, claim.endpoint.service());
        logIfCold(rate, now);
    }

    private Optional<CatalogService> limitedService(String name) {
        return catalog.get().flatMap(c -> c.service(name)).filter(CatalogService::limitsColdEndpoints);
    }

    private static long leftMs(Claim claim, CatalogService service) {
        return claim.source == ColdSource.START
                ? service.warmupMs() - (claim.atMs - claim.endpoint.startedMs())
                : claim.leftMs;
    }

    private boolean isPlausible(Claim claim) {
        if (claim.leftMs >= 0 && claim.leftMs <= MAX_LEFT_MS) {
            return true;
        }
        if (implausible.size() < MAX_IMPLAUSIBLE && implausible.add(claim.endpoint.id())) {
            line(claim.endpoint.id())
                    .with("outcome", "implausible warm-up ignored")
                    .with("source", claim.source.label())
                    .with("leftMs", claim.leftMs)
                    .end();
        }
        return false;
    }

    /**
     * Applies what was heard before the configuration, ends the cold periods whose time is over and logs what changed.
     * Must be called after each change of the configuration, and several times a second.
     */
    public void refresh() {
        if (catalog.get().isPresent() && !pending.isEmpty()) {
            List.copyOf(pending).forEach(this::apply);
            pending.clear();
        }
        long now = clock.nanos();
        for (EndpointRate rate : rates.all()) {
            if (rate.isCold()) {
                refresh(rate, now);
            }
        }
    }

    private void refresh(EndpointRate rate, long now) {
        String service = services.get(rate);
        if (service != null) {
            limitedService(service).ifPresent(s -> rate.coldPerSecond(s.warmupPerSecond()));
        }
        if (!rate.endCold(now)) {
            logIfCold(rate, now);
            return;
        }
        services.remove(rate);
        logged.remove(rate);
        line(rate.endpoint()).with("outcome", "warm").end();
    }

    private void logIfCold(EndpointRate rate, long now) {
        if (!rate.isCold() || logged.contains(rate)) {
            return;
        }
        ColdPeriod cold = rate.cold().orElseThrow();
        logged.add(rate);
        line(rate.endpoint())
                .with("outcome", "cold")
                .with("source", cold.source().label())
                .with("leftMs", cold.leftMs(now))
                .with("limitHundredths", Math.round(rate.requestsPerSecond() * HUNDREDTHS))
                .end();
    }

    private LogLine line(String endpoint) {
        return log.line(LogTopic.ENDPOINT).with("endpoint", endpoint);
    }
}
