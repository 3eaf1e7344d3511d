package org.dragonflygw.core.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointRegistryTest {
    private static final long SECOND = 1_000_000_000L;

    private final List<String> gone = new ArrayList<>();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EndpointListener() {
                @Override
                public void onUpdated(DiscoveredEndpoint endpoint) {}

                @Override
                public void onRemoved(DiscoveredEndpoint endpoint) {
                    gone.add(endpoint.id());
                }
            },
            new NoOpEventLog());

    private static DiscoveredEndpoint endpoint(String id, long startedMs) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, startedMs);
    }

    @Test
    void aRemovedEntryIsGoneAtOnceInCalm() {
        registry.onListing(List.of(endpoint("e1", 1)), SECOND);
        registry.onRemoved("e1", 2 * SECOND);
        assertThat(gone).containsExactly("e1");
    }

    @Test
    void anotherIncarnationOfAnIdReplacesTheFirst() {
        registry.onListing(List.of(endpoint("e1", 1)), SECOND);
        registry.onUpdated(endpoint("e1", 2));
        assertThat(gone).containsExactly("e1");
        assertThat(registry.all()).hasSize(1);
    }

    @Nested
    final class AfterAnOutage {
        @Test
        void lapsedEntriesAreKeptForAWhile() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND);
            registry.onStoreOutage();
            registry.onListing(List.of(), 10 * SECOND);
            assertThat(gone).isEmpty();
            registry.onStoreReached(11 * SECOND);
            assertThat(gone).isEmpty();
        }

        @Test
        void andAreGoneWhenTheyDoNotComeBack() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND);
            registry.onStoreOutage();
            registry.onListing(List.of(), 10 * SECOND);
            registry.onStoreReached(13 * SECOND);
            assertThat(gone).containsExactly("e1");
        }

        @Test
        void orStayWhenTheyComeBack() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND);
            registry.onStoreOutage();
            registry.onListing(List.of(), 10 * SECOND);
            registry.onUpdated(endpoint("e1", 1));
            registry.onStoreReached(13 * SECOND);
            assertThat(gone).isEmpty();
        }
    }
}
