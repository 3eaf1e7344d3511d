package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class BaselineChoosersTest {
    private static final long NOW = 1;
    private static final int ENDPOINTS = 5;

    private final EndpointLoads loads = new EndpointLoads();

    @BeforeEach
    void addEndpoints() {
        for (int i = 0; i < ENDPOINTS; i++) {
            loads.onUpdated(new DiscoveredEndpoint("i-" + i, "s", "10.0.0.1", 80, "a", 8, i == 4, 0, 1, "v1"));
        }
    }

    private static ChoiceRequest request(long sharedPartId) {
        Prompt prompt = new Prompt(List.of(new PromptPart(sharedPartId, 1_000), new PromptPart(7, 10)), 1_010, 10);
        CatalogService engines = new CatalogService("s", "/", 10, 8, 100_000, 0);
        return new ChoiceRequest(engines, prompt, 500, 5_000, Set.of());
    }

    private List<String> chosen(EndpointChooser chooser, long sharedPartId, int count) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EndpointLoadState e =
                    chooser.choose(request(sharedPartId), NOW).endpoint().orElseThrow();
            loads.onSent(e, request(sharedPartId).prompt(), 0, NOW);
            ids.add(e.entry().id());
        }
        return ids;
    }

    @Test
    void roundRobinChoosesNonDrainingEndpointsInTurn() {
        assertThat(chosen(new RoundRobinChooser(loads), 1, 4)).containsExactly("i-0", "i-1", "i-2", "i-3");
    }

    @Test
    void twoChoicesKeepsLoadsBalanced() {
        chosen(new TwoChoicesChooser(loads, new SplittableRandom(1)), 1, 20);
        assertThat(loads.all().stream()
                        .mapToInt(EndpointLoadState::inFlight)
                        .max()
                        .orElseThrow())
                .isAtMost(7);
    }

    @Test
    void boundedHashLoadsPreferredEngineUpToMultipleOfMean() {
        List<String> ids = chosen(new BoundedHashChooser(loads), 1, 12);
        assertThat(Collections.frequency(ids, ids.get(0))).isEqualTo(4);
    }

    @Test
    void returnsBusyWhenAllSlotsAreTaken() {
        EndpointChooser chooser = new RoundRobinChooser(loads);
        chosen(chooser, 1, 32);
        assertThat(chooser.choose(request(1), NOW).reason()).isEqualTo(UnavailableReason.BUSY);
    }
}
