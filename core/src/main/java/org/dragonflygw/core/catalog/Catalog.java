package org.dragonflygw.core.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration, indexed for requests. Immutable. */
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
     * @param version version of the operator
     * @param limits bounds on callers
     * @param routes all routes
     * @param services all services
     * @param teamsByKey team by each key it holds; empty optional if the configuration has no teams
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

    /** Version of the operator; versions only rise. */
    public long version() {
        return version;
    }

    /** Bounds on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Whether requests need a key unless their route is anonymous. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** All routes, in no order. */
    public List<CatalogRoute> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /** All services, in no order. */
    public List<CatalogService> services() {
        return List.copyOf(services.values());
    }

    /** Team by each key that it holds. */
    public Map<String, CatalogTeam> teamsByKey() {
        return teamsByKey;
    }

    /** The route of a request, the one with the longest matching prefix. */
    public Optional<CatalogRoute> match(String host, String path) {
        for (CatalogRoute r : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(r.pathPrefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** The service of a name. */
    public Optional<CatalogService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The team that holds a key. */
    public Optional<CatalogTeam> teamOfKey(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }
}
