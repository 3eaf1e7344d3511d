package org.dragonflygw.core.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class CatalogChangeTest {
    private static CatalogRoute route(String name, String prefix, int weight) {
        List<WeightedService> services = List.of(new WeightedService("s", weight));
        return new CatalogRoute(
                name, "h", prefix, RouteKind.IDEMPOTENT, 3_000, 500, 1, services, 2, false, false, false, 0);
    }

    private static Catalog random(SplittableRandom random, long version) {
        List<CatalogRoute> routes = new ArrayList<>();
        List<CatalogService> services = new ArrayList<>();
        Map<String, CatalogTeam> keys = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            if (random.nextInt(3) > 0) {
                routes.add(route("r" + i, "/p" + i + "/", random.nextInt(3)));
            }
            if (random.nextInt(3) > 0) {
                services.add(new CatalogService("s" + i, "/", random.nextInt(3), 8, 0, 0));
            }
            if (random.nextInt(3) > 0) {
                keys.put("k" + i, new CatalogTeam("t" + random.nextInt(3), OptionalInt.empty()));
            }
        }
        Optional<Map<String, CatalogTeam>> teams = random.nextInt(6) == 0 ? Optional.empty() : Optional.of(keys);
        CallerLimits limits = new CallerLimits(random.nextInt(3), 1, 1, 1);
        return new Catalog(version, limits, routes, services, teams);
    }

    /** Hosts send each other changes instead of whole configurations, so a change must reproduce the later one. */
    @Property(tries = 1_000, seed = "20261204")
    void applyingAChangeToTheEarlierConfigurationGivesTheLaterOne(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Catalog before = random(random, 1);
        Catalog after = random(random, 2);
        Catalog derived = CatalogChange.between(before, after).orElseThrow().applyTo(before);
        assertThat(derived.version()).isEqualTo(2);
        assertThat(derived.limits()).isEqualTo(after.limits());
        assertThat(derived.keysRequired()).isEqualTo(after.keysRequired());
        assertThat(derived.routes()).containsExactlyElementsIn(after.routes());
        assertThat(derived.services()).containsExactlyElementsIn(after.services());
        assertThat(derived.teamsByKey()).isEqualTo(after.teamsByKey());
    }

    @Test
    void sizeCountsAddedAndChangedRoutes() {
        Catalog before = catalog(1, route("r1", "/a/", 1), route("r2", "/b/", 1));
        Catalog after = catalog(2, route("r1", "/a/", 1), route("r2", "/b/", 2), route("r3", "/c/", 1));
        assertThat(CatalogChange.between(before, after).orElseThrow().size()).isEqualTo(2);
    }

    @Test
    void changeIsEmptyWhenRouteNamesAreNotUnique() {
        Catalog duplicateNames = catalog(2, route("r1", "/a/", 1), route("r1", "/b/", 1));
        assertThat(CatalogChange.between(catalog(1), duplicateNames)).isEmpty();
    }

    private static Catalog catalog(long version, CatalogRoute... routes) {
        return new Catalog(version, CallerLimits.DEFAULT, List.of(routes), List.of(), Optional.empty());
    }
}
