package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a request goes to an endpoint that it should avoid: one old engine beside five new ones. */
final class AvoidedEndpointsTest {
    private static final String ENGINES = "llm";
    private static final CatalogService SERVICE = new CatalogService(ENGINES, "/", 300, 64, 600_000, 18_432);
    private static final int ENGINE_COUNT = 6;
    private static final String OLD = "e0";
    private static final Set<String> NEW = Set.of("e1", "e2", "e3", "e4", "e5");
    private static final long NOW = 1_000_000_000_000L;
    private static final Prompt SMALL = new Prompt(List.of(new PromptPart(3, 10)), 10, 10);

    private final EndpointLoads loads = new EndpointLoads();
    private final ExpectedTimeChooser chooser =
            new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, now) -> all);

    AvoidedEndpointsTest() {
        for (int i = 0; i < ENGINE_COUNT; i++) {
            loads.onUpdated(new DiscoveredEndpoint("e" + i, ENGINES, "10.0.0.1", 80, "a", 64, false, 0, 1, "v1"));
        }
    }

    private void load(String id, int requests) {
        for (int i = 0; i < requests; i++) {
            loads.onSent(loads.get(id).orElseThrow(), SMALL, 0, NOW);
        }
    }

    private String chosen(long remainingMs) {
        ChoiceRequest request =
                new ChoiceRequest(SERVICE, SMALL, 800, remainingMs, Set.of(), NEW, true, Optional.empty());
        return chooser.choose(request, NOW).endpoint().orElseThrow().entry().id();
    }

    /** Guards against streams at versions of which nobody knows once all hosts are lost. */
    @Nested
    final class BelowTheLoadBound {
        @Test
        void theOtherEngineIsChosenThoughItIsBusier() {
            load(OLD, 1);
            assertThat(chosen(15_000)).isEqualTo(OLD);
        }
    }

    /** Guards against an engine that holds several times the mean load beside idle ones. */
    @Nested
    final class AboveTheLoadBound {
        @Test
        void anAvoidedEngineIsChosen() {
            load(OLD, 12);
            assertThat(NEW).contains(chosen(15_000));
        }
    }

    /** Guards against a refusal although an avoided engine can respond in time. */
    @Nested
    final class WhereTheResponseWouldBeLate {
        @Test
        void anAvoidedEngineIsChosen() {
            for (int i = 0; i < 20; i++) {
                loads.get(OLD).orElseThrow().speeds().onFirstToken(60_000, 11_000, 1, NOW);
            }
            loads.onSent(
                    loads.get(OLD).orElseThrow(),
                    new Prompt(List.of(new PromptPart(4, 11_000)), 11_000, 10),
                    11_000,
                    NOW);
            assertThat(NEW).contains(chosen(200));
        }
    }
}
