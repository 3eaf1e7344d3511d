package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests to an engine over the allowed multiple of its service's mean load while others are below it. */
final class LoadBoundTest {
    private static final String ENGINES = "llm";
    private static final CatalogService SERVICE = new CatalogService(ENGINES, "/", 300, 64, 600_000, 18_432);
    private static final int ENGINE_COUNT = 6;
    private static final int CAP_FACTOR = 2;
    private static final int CAP_SLACK = 3;
    private static final long NOW = 1_000_000_000_000L;
    private static final Prompt PROMPT =
            new Prompt(List.of(new PromptPart(1, 10_000), new PromptPart(2, 1_000)), 11_000, 300);
    private static final Prompt SMALL = new Prompt(List.of(new PromptPart(3, 10)), 10, 10);

    private final EndpointLoads loads = new EndpointLoads();
    private final ExpectedTimeChooser chooser =
            new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", CAP_FACTOR), (all, now) -> all);

    LoadBoundTest() {
        for (int i = 0; i < ENGINE_COUNT; i++) {
            loads.onUpdated(entry(i, false));
        }
    }

    private static DiscoveredEndpoint entry(int number, boolean draining) {
        return new DiscoveredEndpoint("e" + number, ENGINES, "10.0.0.1", 80, "a", 64, draining, 0, 1, "v1");
    }

    private EndpointLoadState engine(int number) {
        return loads.get("e" + number).orElseThrow();
    }

    private EndpointLoadState choose(Prompt prompt) {
        return chooser.choose(new ChoiceRequest(SERVICE, prompt, 800, 15_000, Set.of()), NOW)
                .endpoint()
                .orElseThrow();
    }

    /** Sends requests whose prompts are read already, so that only their number counts. */
    private void load(EndpointLoadState engine, int requests) {
        for (int i = 0; i < requests; i++) {
            loads.onSent(engine, SMALL, 0, NOW);
        }
    }

    private double meanLoad() {
        return loads.ofService(ENGINES).stream()
                .mapToInt(EndpointLoadState::inFlight)
                .average()
                .orElseThrow();
    }

    private void assertBelowTheLimit(EndpointLoadState chosen) {
        assertThat(chosen.inFlight() + 1.0).isAtMost(CAP_FACTOR * meanLoad() + CAP_SLACK);
    }

    /** The wait elsewhere was charged more than the load above the bound. */
    @Nested
    final class WhenOtherEnginesAreSlow {
        /** Makes this host expect long waits, as after minutes in which responses came late. */
        private void learnSlowReading(EndpointLoadState engine) {
            for (int i = 0; i < 20; i++) {
                engine.speeds().onFirstToken(60_000, 11_000, 1, NOW);
            }
        }

        @Test
        void theirWaitDoesNotOutweighTheBound() {
            EndpointLoadState home = choose(PROMPT);
            loads.onSent(home, PROMPT, 11_000, NOW);
            home.onPromptRead(11_000);
            load(home, 30);
            loads.ofService(ENGINES).stream().filter(e -> e != home).forEach(this::learnSlowReading);
            EndpointLoadState chosen = choose(PROMPT);
            assertThat(chosen).isNotSameInstanceAs(home);
            assertBelowTheLimit(chosen);
        }
    }
    /** Endpoints that leave lowered the mean of the service, but not the bound. */
    @Nested
    final class WhileHalfOfTheEnginesDrain {
        @Test
        void theirLoadCountsInTheMean() {
            EndpointLoadState home = choose(PROMPT);
            loads.onSent(home, PROMPT, 11_000, NOW);
            home.onPromptRead(11_000);
            load(home, 13);
            int stay = 2;
            for (int i = 0; i < ENGINE_COUNT; i++) {
                if (engine(i) != home && stay-- > 0) {
                    load(engine(i), 8);
                } else if (engine(i) != home) {
                    loads.onUpdated(entry(i, true));
                }
            }
            assertBelowTheLimit(choose(PROMPT));
        }
    }

    /** The requests that run at an engine were forgotten with its entry. */
    @Nested
    final class WhenAnEntryComesBack {
        @Test
        void theSameProcessStillHasItsRequests() {
            EndpointLoadState before = engine(0);
            load(before, 20);
            loads.onRemoved(entry(0, false));
            before.onRequestEnded(SMALL);
            loads.onUpdated(entry(0, false));
            before.onRequestEnded(SMALL);
            assertThat(engine(0).inFlight()).isEqualTo(18);
        }

        @Test
        void aNewProcessHasNone() {
            load(engine(0), 20);
            loads.onRemoved(entry(0, false));
            loads.onUpdated(new DiscoveredEndpoint("e0", ENGINES, "10.0.0.1", 80, "a", 64, false, 0, 2, "v1"));
            assertThat(engine(0).inFlight()).isEqualTo(0);
        }
    }

    /** New engines were taken to hold the mean load, which kept the bound up while all new requests went to the old ones. */
    @Nested
    final class WhenEnginesAppear {
        private static final int OTHERS_LOAD = 25;

        /** Two engines with load, after a report of the other hosts. */
        private void hearOfLoad(int engines) {
            for (int i = 0; i < engines; i++) {
                engine(i).onPeerLoad(new PeerLoad(OTHERS_LOAD, 0, 0, 50), NOW);
                load(engine(i), OTHERS_LOAD / 5);
            }
        }

        @Test
        void theyLowerTheMeanBeforeAnyReportNamesThem() {
            Set<String> appearing = Set.of("e2", "e3", "e4", "e5");
            for (int i = 2; i < ENGINE_COUNT; i++) {
                loads.onRemoved(entry(i, false));
            }
            hearOfLoad(2);
            for (int i = 2; i < ENGINE_COUNT; i++) {
                loads.onUpdated(entry(i, false));
            }
            ChoiceRequest request =
                    new ChoiceRequest(SERVICE, PROMPT, 800, 15_000, Set.of(), appearing, true, Optional.empty());
            EndpointLoadState chosen = chooser.choose(request, NOW).endpoint().orElseThrow();
            assertThat(appearing).contains(chosen.entry().id());
        }
    }

    /** All engines that take requests were new, and each host counted its own requests only. */
    @Nested
    final class WhenAllEnginesAreReplaced {
        private static final int OTHER_HOSTS = 5;

        @Test
        void theOtherHostsAreTakenToFillTheNewOnesToo() {
            for (int i = 0; i < 3; i++) {
                engine(i).onPeerLoad(new PeerLoad(OTHER_HOSTS * 10, 0, 0, 50), NOW);
                load(engine(i), 10);
                loads.onUpdated(entry(i, true));
            }
            ChoiceRequest request = new ChoiceRequest(
                    SERVICE, SMALL, 800, 15_000, Set.of(), Set.of("e4", "e5"), true, Optional.empty());
            long later = NOW + 50_000_000;
            int sent = 0;
            while (chooser.choose(request, later).endpoint().orElseThrow() == engine(3)) {
                loads.onSent(engine(3), SMALL, 0, later);
                sent++;
            }
            double total = (1 + OTHER_HOSTS) * (double) sent;
            assertThat(total).isAtMost(CAP_FACTOR * total / 3 + CAP_SLACK);
        }
    }

    /** Several hosts filled the same engine between two reports, each of them by the same old numbers. */
    @Nested
    final class WhileReportsAge {
        private static final int OTHER_HOSTS = 5;
        private static final int OWN_LOAD = 2;
        private static final long REPORT_AGE_MS = 200;

        @Test
        void theOtherHostsAreTakenToPreferTheSameEngine() {
            for (EndpointLoadState e : loads.ofService(ENGINES)) {
                load(e, OWN_LOAD);
                e.onPeerLoad(new PeerLoad(OTHER_HOSTS * OWN_LOAD, 0, 0, 0), NOW);
            }
            long later = NOW + REPORT_AGE_MS * 1_000_000;
            Set<String> others = Set.of("e1", "e2", "e3", "e4", "e5");
            ChoiceRequest request =
                    new ChoiceRequest(SERVICE, SMALL, 800, 15_000, Set.of(), others, true, Optional.empty());
            int sent = 0;
            while (chooser.choose(request, later).endpoint().orElseThrow() == engine(0)) {
                loads.onSent(engine(0), SMALL, 0, later);
                sent++;
            }
            int allHosts = 1 + OTHER_HOSTS;
            double total = allHosts * (ENGINE_COUNT * OWN_LOAD + sent);
            assertThat(allHosts * (OWN_LOAD + sent)).isAtMost((int) (CAP_FACTOR * total / ENGINE_COUNT + CAP_SLACK));
        }
    }

    /** Where all were above the bound, the fullest engine was chosen as long as it had the prompt. */
    @Nested
    final class WhenAllAreAboveTheBound {
        @Test
        void theLeastLoadedOneIsChosen() {
            EndpointLoadState home = choose(PROMPT);
            loads.onSent(home, PROMPT, 11_000, NOW);
            home.onPromptRead(11_000);
            load(home, 30);
            EndpointLoadState other = engine(home == engine(0) ? 1 : 0);
            load(other, 16);
            for (int i = 0; i < ENGINE_COUNT; i++) {
                if (engine(i) != home && engine(i) != other) {
                    loads.onUpdated(entry(i, true));
                }
            }
            assertThat(choose(PROMPT)).isSameInstanceAs(other);
        }
    }
}
