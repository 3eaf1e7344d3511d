package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.log.NoLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class NewsTakerTest {
    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EndpointRegistry registry = new EndpointRegistry(new EndpointLoads(), new NoLog());
    private final StoreContact contact = new StoreContact(
            () -> 4_000_000_000L, clock, MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC));
    private final EndpointChangeLog changeLog = new EndpointChangeLog();
    private final NewsTaker taker = new NewsTaker(registry, changeLog, contact, clock);
    private final FakeTable endpoints = new FakeTable(10);
    private final FakeTable configuration = new FakeTable(10);

    private static DiscoveredEndpoint endpoint(String id, boolean draining) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, draining, 0, 1);
    }

    private void take(StoreNews news) {
        taker.take(news, endpoints, configuration, 5);
    }

    private static StoreNews endpointNews(long completeFrom, long version, EndpointChange... changes) {
        return new StoreNews(true, version, 20, completeFrom, List.of(changes), 0, -1);
    }

    @Nested
    final class Endpoints {
        @Test
        void changesThatJoinOnAreApplied() {
            registry.onListing(List.of(endpoint("e1", false), endpoint("e2", false)), clock.nanos());
            take(endpointNews(
                    8,
                    14,
                    new EndpointChange("e1", Optional.of(endpoint("e1", true)), 12),
                    new EndpointChange("e2", Optional.empty(), 13)));
            assertThat(registry.all()).containsExactly(endpoint("e1", true));
            assertThat(endpoints.version).isEqualTo(14);
        }

        /** Otherwise this host would tell others that it knows all changes, without those that it only heard of. */
        @Test
        void changesThatWereHeardAreToldOn() {
            changeLog.restart(10);
            EndpointChange change = new EndpointChange("e1", Optional.of(endpoint("e1", true)), 12);
            take(endpointNews(8, 14, new EndpointChange("e0", Optional.empty(), 9), change));
            assertThat(changeLog.completeFrom()).isEqualTo(10);
            assertThat(changeLog.changes()).containsExactly(change);
        }

        @Test
        void olderChangesAreNotAppliedAgain() {
            registry.onListing(List.of(endpoint("e1", false)), clock.nanos());
            take(endpointNews(8, 14, new EndpointChange("e1", Optional.empty(), 9)));
            assertThat(registry.all()).hasSize(1);
        }

        @Test
        void newsWithAGapAreLeftOut() {
            registry.onListing(List.of(endpoint("e1", false)), clock.nanos());
            take(endpointNews(11, 14, new EndpointChange("e1", Optional.empty(), 12)));
            assertThat(registry.all()).hasSize(1);
            assertThat(endpoints.version).isEqualTo(10);
        }

        @Test
        void newsOfAHostThatKnowsLessAreLeftOut() {
            take(endpointNews(0, 9));
            assertThat(endpoints.freshNanos).isEqualTo(0);
        }

        @Test
        void nothingIsTakenBeforeTheFirstOwnListing() {
            endpoints.listed = false;
            take(endpointNews(0, 14));
            assertThat(endpoints.version).isEqualTo(10);
        }
    }

    @Nested
    final class Configurations {
        @Test
        void aNewerOneIsReadAtOnce() {
            take(new StoreNews(true, 0, -1, 0, List.of(), 6, 10));
            assertThat(configuration.reads).isEqualTo(1);
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void theSameOneConfirmsKeysForAsLongAsTheSendersRead() {
            take(new StoreNews(true, 0, -1, 0, List.of(), 5, 3_000));
            assertThat(contact.keysConfirmed()).isTrue();
            clock.advanceMs(901);
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void anOlderOneConfirmsNothing() {
            take(new StoreNews(true, 0, -1, 0, List.of(), 4, 10));
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void aSenderThatConfirmedNothingConfirmsNothingHere() {
            take(new StoreNews(true, 0, -1, 0, List.of(), 5, -1));
            assertThat(contact.keysConfirmed()).isFalse();
        }
    }

    private static final class FakeTable implements FollowedTable {
        private boolean listed = true;
        private long version;
        private long freshNanos;
        private int reads;

        FakeTable(long version) {
            this.version = version;
        }

        @Override
        public boolean listed() {
            return listed;
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public void onFresh(long upTo, long asOfNanos) {
            version = Math.max(version, upTo);
            freshNanos = asOfNanos;
        }

        @Override
        public void readNow() {
            reads++;
        }
    }
}
