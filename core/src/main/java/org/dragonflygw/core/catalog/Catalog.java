package org.dragonflygw.core.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration, indexed for lookups by request. Immutable. */
public final class Catalog {
    private final long version;
    private final CallerLimits limits;
    private final boolean keysRequired;
    private final Map<String, List<CatalogRoute>> routesByHost;
    private final Map<String, CatalogService> services;
    private final Map<String, CatalogTeam> teamsByKey;

    /**
     * Indexes a configuration.
     *
     * @param version version that the operator gave the configuration
     * @param teamsByKey team of each API key; an empty optional if the configuration has no teams
     */
    public Catalog(
            long version,
            CallerLimits limits,
            List<CatalogRoute> routes,
            List<CatalogService> services,
            Optional<Map<String, CatalogTeam>> teamsByKey) {
        this.version = version;
        this.limits = limits;
        this.keysRequired = teamsByKey.isPresent();
        this.teamsByKey = Map.copyOf(teamsByKey.orElse(Map.of()));
        this.routesByHost = byHost(routes);
        Map<String, CatalogService> byName = new HashMap<>();
        services.forEach(s -> byName.put(s.name(), s));
        this.services = Map.copyOf(byName);
    }

    private static Map<String, List<CatalogRoute>> byHost(List<CatalogRoute> routes) {
        Map<String, List<CatalogRoute>> byHost = new HashMap<>();
        for (CatalogRoute r : routes) {
            byHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
        }
        Comparator<CatalogRoute> longestFirst = Comparator.comparingInt(
                        (CatalogRoute r) -> r.pathPrefix().length())
                .reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
        return Map.copyOf(byHost);
    }

    /** Returns the version that the operator gave the configuration. Versions only increase. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns whether requests need an API key, except on anonymous routes. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Returns all routes, in no particular order. */
    public List<CatalogRoute> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /** Returns all services, in no particular order. */
    public List<CatalogService> services() {
        return List.copyOf(services.values());
    }

    /** Returns the team of each API key. */
    public Map<String, CatalogTeam> teamsByKey() {
        return teamsByKey;
    }

    /**
     * Returns the route of the host with the longest matching path prefix.
     *
     * @param host value of the request's host header
     */
    public Optional<CatalogRoute> match(String host, String path) {
        for (CatalogRoute r : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(r.pathPrefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Returns the service with a name. */
    public Optional<CatalogService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the team that an API key belongs to. */
    public Optional<CatalogTeam> teamOfKey(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }
}
