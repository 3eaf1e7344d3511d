package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class FleetSizeSamplerTest {
    private static final int ENDPOINTS = 4;
    private static final long NOW = 1_000_000_000_000L;

    private static EndpointLoads loads() {
        EndpointLoads loads = new EndpointLoads();
        for (int i = 0; i < ENDPOINTS; i++) {
            loads.onUpdated(new DiscoveredEndpoint("p" + i, "app", "10.0.0.1", 80, "a", 6, false, 0, 1, "v1"));
        }
        return loads;
    }

    /**
     * Many hosts choose at the same time, all based on the same stale report in which one endpoint has the least load.
     */
    @Nested
    final class StaleLoads {
        private int requestsAtBusiestEndpoint(int hosts, OptionalInt known) {
            CatalogService service = new CatalogService("app", "/", 96, 6, 0, 0);
            int[] chosen = new int[ENDPOINTS];
            for (int host = 0; host < hosts; host++) {
                EndpointLoads loads = loads();
                List<EndpointLoadState> all = new ArrayList<>(loads.ofService("app"));
                for (int i = 0; i < ENDPOINTS; i++) {
                    all.get(i).onPeerLoad(new PeerLoad(i == 0 ? 0 : 1, 0, 0), NOW);
                }
                FleetSizeSampler sampler = new FleetSizeSampler(() -> known, new SplittableRandom(host));
                ExpectedTimeChooser chooser =
                        new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), sampler);
                ChoiceRequest request = new ChoiceRequest(service, Prompt.NONE, 150, 600, Set.of());
                String id = chooser.choose(request, NOW)
                        .endpoint()
                        .orElseThrow()
                        .entry()
                        .id();
                chosen[Integer.parseInt(id.substring(1))]++;
            }
            return Arrays.stream(chosen).max().orElseThrow();
        }

        @Test
        void largeFleetDoesNotSendToASingleEndpoint() {
            assertThat(requestsAtBusiestEndpoint(60, OptionalInt.of(60))).isAtMost(40);
        }

        /** Guards against a restart of a large fleet, whose new processes know no other host for a moment. */
        @Test
        void fleetOfUnknownSizeDoesNotSendToASingleEndpoint() {
            assertThat(requestsAtBusiestEndpoint(60, OptionalInt.empty())).isAtMost(40);
        }

        @Test
        void smallFleetChoosesTheLeastLoadedEndpoint() {
            assertThat(requestsAtBusiestEndpoint(6, OptionalInt.of(6))).isEqualTo(6);
        }
    }

    /** Guards against a plain endpoint that is drawn at random though it holds a multiple of the mean load. */
    @Test
    void largeFleetDrawsNoEndpointAboveTheLoadBound() {
        EndpointLoads loads = loads();
        List<EndpointLoadState> all = loads.ofService("app");
        for (int i = 0; i < ENDPOINTS; i++) {
            all.get(i).onPeerLoad(new PeerLoad(i == 0 ? 14 : 1, 0, 0), NOW);
        }
        FleetSizeSampler sampler = new FleetSizeSampler(() -> OptionalInt.of(60), new SplittableRandom(1));
        ExpectedTimeChooser chooser = new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), sampler);
        CatalogService service = new CatalogService("app", "/", 96, 6, 0, 0);
        ChoiceRequest request = new ChoiceRequest(service, Prompt.NONE, 150, 600, Set.of());
        for (int i = 0; i < 500; i++) {
            assertThat(chooser.choose(request, NOW).endpoint()).isNotEqualTo(Optional.of(all.get(0)));
        }
    }

    /** An engine accepts requests but never responds. Peers have reported its failures. */
    @Test
    void largeFleetRarelyChoosesAFailingEndpoint() {
        EndpointLoads loads = loads();
        List<EndpointLoadState> all = loads.ofService("app");
        all.get(0).onPeerLoad(new PeerLoad(0, 0, 0.6), NOW);
        FleetSizeSampler sampler = new FleetSizeSampler(() -> OptionalInt.of(60), new SplittableRandom(1));
        int drawn = 0;
        for (int i = 0; i < 1_000; i++) {
            drawn += sampler.sample(all, NOW).get(0) == all.get(0) ? 1 : 0;
        }
        assertThat(drawn).isAtMost(50);
    }
}
