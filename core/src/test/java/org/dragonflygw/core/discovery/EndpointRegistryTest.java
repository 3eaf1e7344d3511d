package org.dragonflygw.core.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointRegistryTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final List<String> removed = new ArrayList<>();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EndpointListener() {
                @Override
                public void onUpdated(DiscoveredEndpoint endpoint) {}

                @Override
                public void onRemoved(DiscoveredEndpoint endpoint) {
                    removed.add(endpoint.id());
                }
            },
            new NoOpEventLog());

    private static DiscoveredEndpoint endpoint(String id, long startedMs) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, startedMs);
    }

    @Test
    void removedEntryIsDroppedImmediatelyWithoutOutage() {
        registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
        registry.onRemoved("e1", 2 * SECOND_NANOS);
        assertThat(removed).containsExactly("e1");
    }

    @Test
    void newIncarnationReplacesThePreviousOne() {
        registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
        registry.onUpdated(endpoint("e1", 2));
        assertThat(removed).containsExactly("e1");
        assertThat(registry.all()).hasSize(1);
    }

    @Nested
    final class AfterStoreOutage {
        @Test
        void missingEntriesAreKeptDuringTheGracePeriod() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
            registry.onStoreOutage();
            registry.onListing(List.of(), 10 * SECOND_NANOS);
            assertThat(removed).isEmpty();
            registry.onStoreReached(11 * SECOND_NANOS);
            assertThat(removed).isEmpty();
        }

        @Test
        void missingEntriesAreRemovedAfterTheGracePeriod() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
            registry.onStoreOutage();
            registry.onListing(List.of(), 10 * SECOND_NANOS);
            registry.onStoreReached(13 * SECOND_NANOS);
            assertThat(removed).containsExactly("e1");
        }

        @Test
        void reregisteredEntriesAreKept() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
            registry.onStoreOutage();
            registry.onListing(List.of(), 10 * SECOND_NANOS);
            registry.onUpdated(endpoint("e1", 1));
            registry.onStoreReached(13 * SECOND_NANOS);
            assertThat(removed).isEmpty();
        }
    }
}
