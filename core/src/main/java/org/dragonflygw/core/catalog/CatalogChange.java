package org.dragonflygw.core.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * What differs between two configurations, so that a host that has the earlier one can make the later one without
 * reading it.
 *
 * @param version version of the later configuration
 * @param limits its bounds on callers
 * @param keysRequired whether it has teams
 * @param routes routes that are new or changed
 * @param removedRoutes names of routes that are gone
 * @param services services that are new or changed
 * @param removedServices names of services that are gone
 * @param keys team by each key that is new or changed hands
 * @param removedKeys keys that are gone
 */
public record CatalogChange(
        long version,
        CallerLimits limits,
        boolean keysRequired,
        List<CatalogRoute> routes,
        List<String> removedRoutes,
        List<CatalogService> services,
        List<String> removedServices,
        Map<String, CatalogTeam> keys,
        List<String> removedKeys) {
    public CatalogChange {
        routes = List.copyOf(routes);
        removedRoutes = List.copyOf(removedRoutes);
        services = List.copyOf(services);
        removedServices = List.copyOf(removedServices);
        keys = Map.copyOf(keys);
        removedKeys = List.copyOf(removedKeys);
    }

    /** The change from one configuration to another; empty if names in one of them are not unique. */
    public static Optional<CatalogChange> between(Catalog before, Catalog after) {
        if (!namesAreUnique(before) || !namesAreUnique(after)) {
            return Optional.empty();
        }
        Map<String, CatalogRoute> routesBefore = byName(before.routes(), CatalogRoute::name);
        Map<String, CatalogRoute> routesAfter = byName(after.routes(), CatalogRoute::name);
        Map<String, CatalogService> servicesBefore = byName(before.services(), CatalogService::name);
        Map<String, CatalogService> servicesAfter = byName(after.services(), CatalogService::name);
        return Optional.of(new CatalogChange(
                after.version(),
                after.limits(),
                after.keysRequired(),
                List.copyOf(changed(routesBefore, routesAfter).values()),
                missing(routesBefore, routesAfter),
                List.copyOf(changed(servicesBefore, servicesAfter).values()),
                missing(servicesBefore, servicesAfter),
                changed(before.teamsByKey(), after.teamsByKey()),
                missing(before.teamsByKey(), after.teamsByKey())));
    }

    private static boolean namesAreUnique(Catalog catalog) {
        Set<String> names = new HashSet<>();
        return catalog.routes().stream().allMatch(r -> names.add(r.name()));
    }

    private static <T> Map<String, T> byName(Iterable<T> all, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        all.forEach(t -> byName.put(name.apply(t), t));
        return byName;
    }

    private static <T> Map<String, T> changed(Map<String, T> before, Map<String, T> after) {
        Map<String, T> changed = new HashMap<>();
        after.forEach((name, value) -> {
            if (!value.equals(before.get(name))) {
                changed.put(name, value);
            }
        });
        return changed;
    }

    private static <T> List<String> missing(Map<String, T> before, Map<String, T> after) {
        List<String> missing = new ArrayList<>(before.keySet());
        missing.removeAll(after.keySet());
        return missing;
    }

    /** The later configuration, made from the earlier one. */
    public Catalog applyTo(Catalog before) {
        Map<String, CatalogRoute> allRoutes = byName(before.routes(), CatalogRoute::name);
        removedRoutes.forEach(allRoutes::remove);
        routes.forEach(r -> allRoutes.put(r.name(), r));
        Map<String, CatalogService> allServices = byName(before.services(), CatalogService::name);
        removedServices.forEach(allServices::remove);
        services.forEach(s -> allServices.put(s.name(), s));
        Map<String, CatalogTeam> allKeys = new HashMap<>(before.teamsByKey());
        removedKeys.forEach(allKeys::remove);
        allKeys.putAll(keys);
        return new Catalog(
                version,
                limits,
                List.copyOf(allRoutes.values()),
                List.copyOf(allServices.values()),
                keysRequired ? Optional.of(allKeys) : Optional.empty());
    }

    /** Number of things that differ. */
    public int size() {
        return routes.size()
                + removedRoutes.size()
                + services.size()
                + removedServices.size()
                + keys.size()
                + removedKeys.size();
    }
}
