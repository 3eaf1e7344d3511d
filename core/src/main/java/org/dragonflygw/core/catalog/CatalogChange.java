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
 * The difference between two configurations. A host that has the earlier configuration can derive the later one from
 * this difference without reading the store.
 *
 * @param version version of the later configuration
 * @param limits limits on callers in the later configuration
 * @param keysRequired whether the later configuration has teams
 * @param routes new and changed routes
 * @param removedRoutes names of the removed routes
 * @param services new and changed services
 * @param removedServices names of the removed services
 * @param keys team of each API key that is new or moved to another team
 * @param removedKeys removed API keys
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

    /** Returns the difference between two configurations, or empty if route names are not unique in one of them. */
    public static Optional<CatalogChange> between(Catalog before, Catalog after) {
        if (!routeNamesAreUnique(before) || !routeNamesAreUnique(after)) {
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

    private static boolean routeNamesAreUnique(Catalog catalog) {
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

    /** Returns the later configuration, derived from the earlier one. */
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

    /** Returns the number of added, changed and removed routes, services and keys. */
    public int size() {
        return routes.size()
                + removedRoutes.size()
                + services.size()
                + removedServices.size()
                + keys.size()
                + removedKeys.size();
    }
}
