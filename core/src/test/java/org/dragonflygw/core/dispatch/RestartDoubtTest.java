package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.resume.StreamOrigin;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that go on at an endpoint that has restarted under its id with other software, before its new entry
 * has come.
 */
final class RestartDoubtTest {
    private static final CatalogService SERVICE = new CatalogService("llm", "/", 300, 64, 600_000, 0);
    private static final long NOW = 1_000_000_000_000L;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long LONG_MS = 5_001;

    private final EndpointLoads loads = new EndpointLoads();
    private final ExpectedTimeChooser chooser =
            new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, now) -> all);

    RestartDoubtTest() {
        loads.onUpdated(entry("e0", 1, "v1"));
        loads.onUpdated(entry("e1", 1, "v1"));
    }

    private static DiscoveredEndpoint entry(String id, long startedMs, String version) {
        return new DiscoveredEndpoint(id, "llm", "10.0.0.1", 80, "a", 64, false, 0, startedMs, version);
    }

    private Choice choose(Optional<StreamOrigin> origin, Set<String> excluded, long ms) {
        ChoiceRequest request = new ChoiceRequest(SERVICE, Prompt.NONE, 800, 15_000, excluded, Set.of(), true, origin);
        return chooser.choose(request, NOW + ms * NANOS_PER_MS);
    }

    private Choice goOn(long ms) {
        return choose(Optional.of(new StreamOrigin("llm", "v1")), Set.of("e1"), ms);
    }

    private void lose(long ms) {
        loads.onConnectionLost(entry("e0", 1, "v1"), NOW + ms * NANOS_PER_MS);
    }

    @Nested
    final class AStream {
        @Test
        void doesNotGoOnAtAnEndpointThatLostAConnection() {
            assertThat(goOn(0).endpoint()).isPresent();
            lose(0);
            assertThat(goOn(1).reason()).isEqualTo(UnavailableReason.NO_VERSION);
        }

        @Test
        void goesOnAtAnotherEndpointOfItsVersion() {
            lose(0);
            Choice c = choose(Optional.of(new StreamOrigin("llm", "v1")), Set.of(), 1);
            assertThat(c.endpoint().orElseThrow().entry().id()).isEqualTo("e1");
        }

        @Test
        void goesOnWhenAnOlderConnectionShowsThatTheProcessLives() {
            lose(10);
            loads.onHeard(entry("e0", 1, "v1"), NOW);
            assertThat(goOn(11).endpoint()).isPresent();
        }

        /** The process that accepts new connections may be the next one. */
        @Test
        void doesNotGoOnBecauseOfANewerConnection() {
            lose(10);
            loads.onHeard(entry("e0", 1, "v1"), NOW + 20 * NANOS_PER_MS);
            assertThat(goOn(21).endpoint()).isEmpty();
        }

        @Test
        void goesOnWhenNoNewEntryHasComeForLong() {
            lose(0);
            assertThat(goOn(LONG_MS).endpoint()).isPresent();
        }

        @Test
        void goesOnAtANewStartOfItsVersion() {
            lose(0);
            loads.onRemoved(entry("e0", 1, "v1"));
            loads.onUpdated(entry("e0", 2, "v1"));
            assertThat(goOn(1).endpoint()).isPresent();
        }
    }

    @Test
    void newStreamsAreNotAffected() {
        lose(0);
        assertThat(choose(Optional.empty(), Set.of("e1"), 1).endpoint()).isPresent();
        assertThat(List.copyOf(loads.ofService("llm"))).hasSize(2);
    }
}
