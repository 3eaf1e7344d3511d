package org.dragonflygw.core.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointRegistryTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long HEARTBEAT_NANOS = 1_200_000_000L;

    private final List<String> removed = new ArrayList<>();
    private final List<String> addressesTaken = new ArrayList<>();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EndpointListener() {
                @Override
                public void onUpdated(DiscoveredEndpoint endpoint) {}

                @Override
                public void onRemoved(DiscoveredEndpoint endpoint) {
                    removed.add(endpoint.id());
                }

                @Override
                public void onAddressTaken(DiscoveredEndpoint former) {
                    addressesTaken.add(former.id());
                }
            },
            () -> HEARTBEAT_NANOS,
            new NoOpEventLog());

    private static DiscoveredEndpoint endpoint(String id, long startedMs) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, startedMs, "v1");
    }

    /** Guards against hosts that do not read the store and never hear that an endpoint has become cold again. */
    @Test
    void anEntryWhoseWarmupBeginsAgainIsAChange() {
        assertThat(registry.onUpdated(cold(5_000))).isTrue();
        assertThat(registry.onUpdated(cold(3_800))).isFalse();
        assertThat(registry.onUpdated(cold(0))).isFalse();
        assertThat(registry.onUpdated(cold(0))).isFalse();
        assertThat(registry.onUpdated(cold(5_000))).isTrue();
        assertThat(registry.onUpdated(cold(5_000))).isTrue();
    }

    private static DiscoveredEndpoint cold(long leftMs) {
        return new DiscoveredEndpoint("e1", "s", "10.0.0.1", 80, "a", 4, false, leftMs, 1, "v1");
    }

    /** Guards against an end that is not noticed because a successor accepts connections at the same address. */
    @Test
    void aLaterEndpointAtTheSameAddressTellsThatTheFormerHasEnded() {
        registry.onUpdated(endpoint("e1", 1));
        registry.onUpdated(endpoint("e2", 2));
        registry.onUpdated(endpoint("e2", 2));
        assertThat(addressesTaken).containsExactly("e1");
        registry.onUpdated(endpoint("e0", 0));
        assertThat(addressesTaken).containsExactly("e1");
    }

    @Test
    void removedEntryIsDroppedImmediatelyWithoutOutage() {
        read(1);
        registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
        read(2);
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

    /** A read of the store that is answered at once. */
    private void read(double second) {
        long now = (long) (second * SECOND_NANOS);
        registry.onStoreRead(now, now);
    }

    private void readFails(double second) {
        registry.onReadFailure((long) (second * SECOND_NANOS));
    }

    private void remove(String id, double second) {
        registry.onRemoved(id, (long) (second * SECOND_NANOS));
    }

    @Nested
    final class AfterStoreOutage {
        @BeforeEach
        void outage() {
            read(1);
            registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
            readFails(2);
            read(10);
        }

        @Test
        void missingEntriesAreKeptDuringTheGracePeriod() {
            registry.onListing(List.of(), 10 * SECOND_NANOS);
            assertThat(removed).isEmpty();
            read(11);
            assertThat(removed).isEmpty();
        }

        @Test
        void missingEntriesAreRemovedAfterTheGracePeriod() {
            registry.onListing(List.of(), 10 * SECOND_NANOS);
            read(13);
            assertThat(removed).containsExactly("e1");
        }

        @Test
        void reregisteredEntriesAreKept() {
            registry.onListing(List.of(), 10 * SECOND_NANOS);
            registry.onUpdated(endpoint("e1", 1));
            read(13);
            assertThat(removed).isEmpty();
        }

        /** A host that receives the news of others may not read the store by itself for a long time. */
        @Test
        void missingEntriesAreRemovedWithoutAnotherRead() {
            remove("e1", 10.5);
            registry.removeLapsed(12 * SECOND_NANOS);
            assertThat(removed).isEmpty();
            registry.removeLapsed(13 * SECOND_NANOS);
            assertThat(removed).containsExactly("e1");
        }

        @Test
        void drainingEndpointsAreRemovedImmediately() {
            registry.onUpdated(new DiscoveredEndpoint("e1", "s", "10.0.0.1", 80, "a", 4, true, 0, 1, "v1"));
            remove("e1", 10.5);
            assertThat(removed).containsExactly("e1");
        }
    }

    /** An endpoint leaves while this host cannot reach the store: its entry did not expire, it was removed. */
    @Nested
    final class AfterOutageOfThisHostOnly {
        @BeforeEach
        void listing() {
            read(1);
            registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
        }

        @Test
        void entryIsRemovedWhileOtherHostsReadTheStore() {
            for (double second = 2; second < 10; second += 0.5) {
                readFails(second);
                read(second + 0.2);
            }
            remove("e1", 10);
            assertThat(removed).containsExactly("e1");
        }

        /** The last failure of this host may be long ago if it read nothing since. */
        @Test
        void entryIsRemovedAfterFirstOwnReadSinceTheFailure() {
            readFails(2);
            for (double second = 2.2; second < 25; second += 0.7) {
                read(second);
            }
            remove("e1", 25.2);
            assertThat(removed).containsExactly("e1");
        }

        @Test
        void entryIsRemovedAfterOutageTooShortForExpiry() {
            readFails(2);
            read(2.5);
            remove("e1", 2.6);
            assertThat(removed).containsExactly("e1");
        }
    }

    /** A host without failed reads received no news for some time, as when its reader was killed. */
    @Test
    void entryIsRemovedAfterGapWithoutFailure() {
        read(1);
        registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
        read(6);
        remove("e1", 6.1);
        assertThat(removed).containsExactly("e1");
    }

    /** The store came back from a copy that is some seconds old. */
    @Nested
    final class RestoredStore {
        private static DiscoveredEndpoint draining(String id) {
            return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, true, 0, 1, "v1");
        }

        @Test
        void endpointThatTheCopyLacksIsKeptUntilItsNextHeartbeats() {
            registry.onListing(List.of(endpoint("e1", 1), endpoint("e2", 1)), SECOND_NANOS);
            registry.onRestoredListing(List.of(endpoint("e1", 1)), 2 * SECOND_NANOS);
            registry.removeLapsed(3 * SECOND_NANOS);
            assertThat(removed).isEmpty();
            registry.removeLapsed(5 * SECOND_NANOS);
            assertThat(removed).containsExactly("e2");
        }

        @Test
        void drainingEndpointIsNotReadyAgain() {
            registry.onListing(List.of(draining("e1")), SECOND_NANOS);
            registry.onRestoredListing(List.of(endpoint("e1", 1)), 2 * SECOND_NANOS);
            assertThat(registry.all().iterator().next().draining()).isTrue();
        }

        @Test
        void endpointThatHadLeftDoesNotReturn() {
            registry.onListing(List.of(endpoint("e1", 1)), SECOND_NANOS);
            registry.onRemoved("e1", SECOND_NANOS);
            registry.onRestoredListing(List.of(endpoint("e1", 1)), 2 * SECOND_NANOS);
            assertThat(registry.all()).isEmpty();
            registry.onRestoredListing(List.of(endpoint("e1", 2)), 3 * SECOND_NANOS);
            assertThat(registry.all()).hasSize(1);
        }
    }
}
