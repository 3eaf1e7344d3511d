package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ExpectedTimeChooserTest {
    private static final String ENGINES = "llm";
    private static final CatalogService SERVICE = new CatalogService(ENGINES, "/", 300, 64, 600_000, 18_432);
    private static final CatalogService PLAIN = new CatalogService("app", "/", 96, 6, 0, 0);
    private static final long NOW = 1_000_000_000_000L;

    private final EndpointLoads loads = new EndpointLoads();
    private final ExpectedTimeChooser chooser =
            new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, now) -> all);

    private void engines(int count) {
        for (int i = 0; i < count; i++) {
            loads.onUpdated(endpoint("e" + i, ENGINES, i % 2 == 0 ? "a" : "b", 64, false));
        }
    }

    private static DiscoveredEndpoint endpoint(String id, String service, String zone, int slots, boolean draining) {
        return new DiscoveredEndpoint(id, service, "10.0.0.1", 80, zone, slots, draining, 0, 1, "v1");
    }

    private static Prompt prompt(long sharedPartId, long ownPartId) {
        return new Prompt(
                List.of(new PromptPart(1, 500), new PromptPart(sharedPartId, 10_000), new PromptPart(ownPartId, 1_000)),
                11_500,
                300);
    }

    private Choice choose(Prompt prompt) {
        return chooser.choose(new ChoiceRequest(SERVICE, prompt, 800, 15_000, Set.of()), NOW);
    }

    private String send(Prompt prompt) {
        Choice c = choose(prompt);
        EndpointLoadState e = c.endpoint().orElseThrow();
        loads.onSent(e, prompt, c.uncachedTokens(), NOW);
        return e.entry().id();
    }

    @Nested
    final class SharedPromptPrefix {
        /** Guards against memory that an engine of another software version wrote. */
        @Test
        void isFetchedOnlyFromAnEngineOfTheSameVersion() {
            DiscoveredEndpoint old = endpoint("old", ENGINES, "a", 64, false);
            DiscoveredEndpoint fresh =
                    new DiscoveredEndpoint("fresh", ENGINES, "10.0.0.1", 80, "a", 64, false, 0, 1, "v2");
            loads.onUpdated(old);
            String holder = send(prompt(77, 1));
            loads.onUpdated(fresh);
            ChoiceRequest request = new ChoiceRequest(SERVICE, prompt(77, 2), 800, 15_000, Set.of(holder));
            Choice c = chooser.choose(request, NOW + 1_000_000_000L);
            assertThat(c.endpoint().orElseThrow().entry().id()).isEqualTo("fresh");
            assertThat(c.cacheSource()).isEmpty();
        }

        @Test
        void staysOnOneEngineWithFreeCapacity() {
            engines(6);
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                used.add(send(prompt(77, 1_000 + i)));
            }
            assertThat(used).hasSize(1);
        }

        @Test
        void differentPrefixesAreSpreadOverAllEngines() {
            engines(6);
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 60; i++) {
                String id = send(prompt(100 + i, 5_000 + i));
                loads.get(id)
                        .orElseThrow()
                        .onPromptRead(loads.get(id).orElseThrow().unreadTokens());
                loads.get(id).orElseThrow().onRequestEnded();
                counts.merge(id, 1, Integer::sum);
            }
            assertThat(counts).hasSize(6);
        }

        @Test
        void isFetchedFromExcludedEngineThatCachesIt() {
            engines(6);
            String holder = send(prompt(77, 1));
            long later = NOW + 1_000_000_000L;
            Choice c = chooser.choose(new ChoiceRequest(SERVICE, prompt(77, 2), 800, 15_000, Set.of(holder)), later);
            assertThat(c.cacheSource().orElseThrow().id()).isEqualTo(holder);
            assertThat(c.uncachedTokens()).isEqualTo(1_000);
        }

        @Test
        void isReadAgainWhenOnlyCommonPartIsCachedElsewhere() {
            engines(2);
            String other = send(prompt(55, 1));
            long later = NOW + 1_000_000_000L;
            Choice c = chooser.choose(new ChoiceRequest(SERVICE, prompt(77, 2), 800, 15_000, Set.of(other)), later);
            assertThat(c.uncachedTokens()).isEqualTo(11_000);
        }

        @Test
        void isSentToSameEngineByAllHostsWithoutReports() {
            engines(6);
            EndpointLoads other = new EndpointLoads();
            loads.all().forEach(e -> other.onUpdated(e.entry()));
            ExpectedTimeChooser elsewhere =
                    new ExpectedTimeChooser(other, () -> new DispatchSettings("b", 2), (all, now) -> all);
            for (int i = 0; i < 20; i++) {
                Prompt p = prompt(300 + i, i);
                String here = choose(p).endpoint().orElseThrow().entry().id();
                Choice there = elsewhere.choose(new ChoiceRequest(SERVICE, p, 800, 15_000, Set.of()), NOW);
                assertThat(there.endpoint().orElseThrow().entry().id()).isEqualTo(here);
            }
        }
    }

    /** A quarter of the requests share one prompt prefix. */
    @Nested
    final class HotPrefix {
        @Test
        void doesNotLoadAnyEngineAboveTheBound() {
            engines(12);
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String id = send(i % 4 == 0 ? prompt(77, 1_000 + i) : prompt(200 + i, 2_000 + i));
                loads.get(id)
                        .orElseThrow()
                        .onPromptRead(loads.get(id).orElseThrow().unreadTokens());
                counts.merge(id, 1, Integer::sum);
            }
            double mean = 120 / 12.0;
            counts.values().forEach(n -> assertThat(n.doubleValue()).isAtMost(2 * mean + 3));
        }
    }

    @Nested
    final class Failures {
        @Test
        void failingEndpointIsAvoided() {
            engines(3);
            String first =
                    choose(prompt(77, 1)).endpoint().orElseThrow().entry().id();
            loads.get(first).orElseThrow().onFailure(2, NOW);
            assertThat(choose(prompt(77, 1)).endpoint().orElseThrow().entry().id())
                    .isNotEqualTo(first);
        }

        @Test
        void failedEndpointIsChosenAgainAfterScoreDecays() {
            engines(3);
            String first =
                    choose(prompt(77, 1)).endpoint().orElseThrow().entry().id();
            loads.get(first).orElseThrow().onFailure(2, NOW);
            Choice later = chooser.choose(
                    new ChoiceRequest(SERVICE, prompt(77, 1), 800, 15_000, Set.of()), NOW + 20_000_000_000L);
            assertThat(later.endpoint().orElseThrow().entry().id()).isEqualTo(first);
        }
    }

    @Nested
    final class Draining {
        @Test
        void drainingEndpointReceivesNoRequests() {
            loads.onUpdated(endpoint("old", ENGINES, "a", 64, true));
            assertThat(choose(prompt(1, 2)).reason()).isEqualTo(UnavailableReason.NO_ENDPOINT);
        }
    }

    @Nested
    final class EvacuatedZone {
        private final Evacuations evacuations =
                new Evacuations(loads.evacuated(), zone -> 0, new NoOpEventLog(), new ManualMonotonicClock());

        @Test
        void itsEndpointsReceiveNoRequestsUntilTheEnd() {
            engines(2);
            evacuations.onListing(List.of("a"), 1);
            assertThat(send(prompt(1, 2))).isEqualTo("e1");
            assertThat(send(prompt(3, 4))).isEqualTo("e1");
            evacuations.onListing(List.of(), 2);
            assertThat(send(prompt(5, 6))).isEqualTo("e0");
        }

        @Test
        void requestsThatOnlyItCouldServeAreRefused() {
            loads.onUpdated(endpoint("e0", ENGINES, "a", 64, false));
            evacuations.onListing(List.of("a"), 1);
            Choice c = choose(prompt(1, 2));
            assertThat(c.reason()).isEqualTo(UnavailableReason.EVACUATED);
            assertThat(c.expectedMs()).isAtLeast(1_000L);
        }

        /** The zone is not the reason where its endpoints would not serve anyway. */
        @Test
        void drainingEndpointsAreNoReason() {
            loads.onUpdated(endpoint("e0", ENGINES, "a", 64, true));
            evacuations.onListing(List.of("a"), 1);
            assertThat(choose(prompt(1, 2)).reason()).isEqualTo(UnavailableReason.NO_ENDPOINT);
        }

        @Test
        void itsEnginesAreNoSourcesOfPrompts() {
            loads.onUpdated(endpoint("e0", ENGINES, "a", 64, false));
            Prompt prompt = prompt(1, 2);
            send(prompt);
            loads.onUpdated(endpoint("e1", ENGINES, "b", 64, false));
            evacuations.onListing(List.of("a"), 1);
            Choice c = choose(prompt(1, 3));
            assertThat(c.endpoint().orElseThrow().entry().id()).isEqualTo("e1");
            assertThat(c.cacheSource()).isEmpty();
        }

        @Test
        void otherDecisionsLeaveItOutToo() {
            for (String id : List.of("p1", "p2", "p3")) {
                loads.onUpdated(endpoint(id, "app", id.equals("p2") ? "b" : "a", 6, false));
            }
            evacuations.onListing(List.of("a"), 1);
            ChoiceRequest request = new ChoiceRequest(PLAIN, Prompt.NONE, 150, 600, Set.of());
            List<EndpointChooser> choosers = List.of(
                    chooser,
                    new RoundRobinChooser(loads),
                    new TwoChoicesChooser(loads, new SplittableRandom(1)),
                    new BoundedHashChooser(loads));
            for (EndpointChooser c : choosers) {
                assertThat(c.choose(request, NOW)
                                .endpoint()
                                .orElseThrow()
                                .entry()
                                .id())
                        .isEqualTo("p2");
            }
        }
    }

    @Nested
    final class PlainServices {
        @Test
        void requestsAreSpreadByLoad() {
            for (String id : List.of("p1", "p2", "p3")) {
                loads.onUpdated(endpoint(id, "app", "a", 6, false));
            }
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 9; i++) {
                Choice c = chooser.choose(new ChoiceRequest(PLAIN, Prompt.NONE, 150, 600, Set.of()), NOW);
                loads.onSent(c.endpoint().orElseThrow(), Prompt.NONE, 0, NOW);
                counts.merge(c.endpoint().orElseThrow().entry().id(), 1, Integer::sum);
            }
            assertThat(counts.values()).containsExactly(3, 3, 3);
        }

        @Test
        void returnsBusyWhenSlotsAndQueueAreFull() {
            loads.onUpdated(endpoint("p1", "app", "a", 2, false));
            for (int i = 0; i < 5; i++) {
                loads.onSent(loads.get("p1").orElseThrow(), Prompt.NONE, 0, NOW);
            }
            Choice c = chooser.choose(new ChoiceRequest(PLAIN, Prompt.NONE, 150, 600, Set.of()), NOW);
            assertThat(c.reason()).isEqualTo(UnavailableReason.BUSY);
        }
    }
}
