package org.dragonflygw.core.resume;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.junit.jupiter.api.Test;

/** Guards against configuration changes that move streams unnoticed, and against others that count as such. */
final class ResumableRoutesTest {
    private static CatalogRoute route(String name, String service, int weight, boolean resumable, long objectiveMs) {
        List<WeightedService> services = List.of(new WeightedService(service, weight), new WeightedService("t", 1));
        return new CatalogRoute(
                name,
                "h",
                "/" + name + "/",
                RouteKind.STREAMING,
                2_000,
                objectiveMs,
                1,
                services,
                2,
                false,
                false,
                resumable,
                400);
    }

    private static String digest(CatalogRoute... routes) {
        return ResumableRoutes.digest(
                new Catalog(1, CallerLimits.DEFAULT, List.of(routes), List.of(), Optional.empty()));
    }

    @Test
    void dependsOnTheServicesOfStreamsThatMayBeTakenUp() {
        String before = digest(route("a", "s", 1, true, 100));
        assertThat(digest(route("a", "other", 1, true, 100))).isNotEqualTo(before);
        assertThat(digest(route("a", "s", 2, true, 100))).isNotEqualTo(before);
        assertThat(digest(route("a", "s", 1, true, 100), route("b", "s", 1, true, 100)))
                .isNotEqualTo(before);
    }

    @Test
    void dependsOnNothingElse() {
        String before = digest(route("a", "s", 1, true, 100), route("b", "s", 1, false, 100));
        assertThat(digest(route("b", "other", 1, false, 100), route("a", "s", 1, true, 200)))
                .isEqualTo(before);
    }
}
