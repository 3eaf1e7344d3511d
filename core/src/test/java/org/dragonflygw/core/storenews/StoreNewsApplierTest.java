package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogChange;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class StoreNewsApplierTest {
    private static final Catalog EMPTY = new Catalog(1, CallerLimits.DEFAULT, List.of(), List.of(), Optional.empty());

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EndpointRegistry registry =
            new EndpointRegistry(new EndpointLoads(), () -> 1_200_000_000L, new NoOpEventLog());
    private final StoreContact contact = new StoreContact(
            () -> 4_000_000_000L, clock, MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC));
    private final EvacuatedZones zones = new EvacuatedZones();
    private final Evacuations evacuations = new Evacuations(zones, zone -> 0, new NoOpEventLog(), clock);
    private final EndpointChangeLog changeLog = new EndpointChangeLog();
    private final StoreNewsApplier applier = new StoreNewsApplier(
            new StoreEra(new NoOpEventLog(), () -> {}), registry, changeLog, evacuations, contact, clock);
    private final FakeTable endpoints = new FakeTable(10);
    private final FakeTable configuration = new FakeTable(10);
    private final FakeCatalog catalog = new FakeCatalog();

    private static DiscoveredEndpoint endpoint(String id, boolean draining) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, draining, 0, 1, "v1");
    }

    private void apply(StoreNews news) {
        applier.apply(news, clock.nanos(), endpoints, configuration, catalog);
    }

    private static StoreNews endpointNews(long completeFrom, long version, EndpointChange... changes) {
        return new StoreNews(
                0, true, version, 20, completeFrom, List.of(changes), ConfigurationNews.NONE, EvacuationNews.UNKNOWN);
    }

    private static StoreNews configurationNews(ConfigurationNews news) {
        return configurationNews(news, new EvacuationNews(news.rowVersion(), List.of()));
    }

    private static StoreNews configurationNews(ConfigurationNews news, EvacuationNews evacuationNews) {
        return new StoreNews(0, true, 0, -1, 0, List.of(), news, evacuationNews);
    }

    @Nested
    final class EndpointNews {
        @Test
        void appliesContiguousChanges() {
            registry.onListing(List.of(endpoint("e1", false), endpoint("e2", false)), clock.nanos());
            apply(endpointNews(
                    8,
                    14,
                    new EndpointChange("e1", Optional.of(endpoint("e1", true)), 12),
                    new EndpointChange("e2", Optional.empty(), 13)));
            assertThat(registry.all()).containsExactly(endpoint("e1", true));
            assertThat(endpoints.version).isEqualTo(14);
        }

        /** Otherwise this host would report a complete change log that lacks the changes received from other hosts. */
        @Test
        void addsReceivedChangesToChangeLog() {
            changeLog.restart(10);
            EndpointChange change = new EndpointChange("e1", Optional.of(endpoint("e1", true)), 12);
            apply(endpointNews(8, 14, new EndpointChange("e0", Optional.empty(), 9), change));
            assertThat(changeLog.completeFrom()).isEqualTo(10);
            assertThat(changeLog.changes()).containsExactly(change);
        }

        @Test
        void skipsChangesThatAreAlreadyApplied() {
            registry.onListing(List.of(endpoint("e1", false)), clock.nanos());
            apply(endpointNews(8, 14, new EndpointChange("e1", Optional.empty(), 9)));
            assertThat(registry.all()).hasSize(1);
        }

        @Test
        void ignoresNewsWithGap() {
            registry.onListing(List.of(endpoint("e1", false)), clock.nanos());
            apply(endpointNews(11, 14, new EndpointChange("e1", Optional.empty(), 12)));
            assertThat(registry.all()).hasSize(1);
            assertThat(endpoints.version).isEqualTo(10);
        }

        /** The entry is kept after an outage; the host reads nothing by itself while it receives the news of others. */
        @Test
        void newsEndTheGracePeriodAfterAnOutage() {
            registry.onStoreRead(clock.nanos(), clock.nanos());
            registry.onListing(List.of(endpoint("e1", false)), clock.nanos());
            clock.advanceMs(1_000);
            registry.onReadFailure(clock.nanos());
            clock.advanceMs(5_000);
            apply(endpointNews(8, 14, new EndpointChange("e1", Optional.empty(), 12)));
            assertThat(registry.all()).hasSize(1);
            clock.advanceMs(2_300);
            apply(endpointNews(8, 14));
            assertThat(registry.all()).isEmpty();
        }

        @Test
        void ignoresNewsOfOlderVersion() {
            apply(endpointNews(0, 9));
            assertThat(endpoints.freshNanos).isEqualTo(0);
        }

        @Test
        void ignoresNewsBeforeFirstListing() {
            endpoints.listed = false;
            apply(endpointNews(0, 14));
            assertThat(endpoints.version).isEqualTo(10);
        }
    }

    /** A host that has started after the store came back from a copy hears others that have not read since. */
    @Nested
    final class NewsFromBeforeTheStoreCameBack {
        private void applyOfEra(long era) {
            ConfigurationNews news = new ConfigurationNews(8, 20, 10, List.of());
            apply(new StoreNews(era, true, 14, 20, 8, List.of(), news, EvacuationNews.UNKNOWN));
        }

        /** Guards against a revoked key that is accepted because the news of its revocation were ignored. */
        @Test
        void tellWhichConfigurationIsInForce() {
            applyOfEra(4);
            catalog.versionInForce = 0;
            applyOfEra(3);
            assertThat(catalog.versionInForce).isEqualTo(20);
        }

        @Test
        void changeNothingElse() {
            applyOfEra(4);
            int reads = configuration.reads;
            endpoints.version = 10;
            applyOfEra(3);
            assertThat(configuration.reads).isEqualTo(reads);
            assertThat(endpoints.version).isEqualTo(10);
        }
    }

    @Nested
    final class ConfigurationVersions {
        @Test
        void newerVersionTriggersRead() {
            apply(configurationNews(new ConfigurationNews(6, 0, 10, List.of())));
            assertThat(configuration.reads).isEqualTo(1);
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void sameVersionConfirmsKeysUntilSendersReadExpires() {
            apply(configurationNews(new ConfigurationNews(5, 0, 3_000, List.of())));
            assertThat(contact.keysConfirmed()).isTrue();
            clock.advanceMs(901);
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void olderVersionDoesNotConfirmKeys() {
            apply(configurationNews(new ConfigurationNews(4, 0, 10, List.of())));
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void versionOfUnknownAgeDoesNotConfirmKeys() {
            apply(configurationNews(new ConfigurationNews(5, 0, -1, List.of())));
            assertThat(contact.keysConfirmed()).isFalse();
        }
    }

    @Nested
    final class EvacuatedZoneNews {
        private final ConfigurationNews fresh = new ConfigurationNews(5, 0, 10, List.of());

        @Test
        void areAppliedAndReplaceARead() {
            apply(configurationNews(fresh, new EvacuationNews(12, List.of("a"))));
            assertThat(zones.contains("a")).isTrue();
            assertThat(configuration.freshNanos).isNotEqualTo(0);
        }

        /** Guards against hosts of an earlier program, which say that nothing has changed and know no evacuations. */
        @Test
        void doNotReplaceAReadIfTheyDoNotNameTheZones() {
            apply(configurationNews(fresh, EvacuationNews.UNKNOWN));
            assertThat(configuration.freshNanos).isEqualTo(0);
            assertThat(contact.keysConfirmed()).isFalse();
        }

        /** Guards against a row that is skipped by a later read because the copy counts as complete beyond it. */
        @Test
        void neverAdvanceTheTableBeyondTheKnownEvacuations() {
            catalog.rowVersion = 20;
            apply(configurationNews(new ConfigurationNews(20, 0, 10, List.of()), new EvacuationNews(12, List.of("a"))));
            assertThat(configuration.version).isEqualTo(12);
        }

        @Test
        void ofAnEarlierEraAreIgnored() {
            StoreEra era = new StoreEra(new NoOpEventLog(), evacuations::onNewEra);
            StoreNewsApplier later = new StoreNewsApplier(era, registry, changeLog, evacuations, contact, clock);
            era.onSeen(3, "read");
            StoreNews news = configurationNews(fresh, new EvacuationNews(12, List.of("a")));
            later.apply(news, clock.nanos(), endpoints, configuration, catalog);
            assertThat(zones.contains("a")).isFalse();
        }
    }

    @Nested
    final class ConfigurationUpdates {
        private CatalogUpdate update(long from, long to) {
            return new CatalogUpdate(
                    from, to, CatalogChange.between(EMPTY, EMPTY).orElseThrow());
        }

        private void receive(long rowVersion, CatalogUpdate... updates) {
            apply(configurationNews(new ConfigurationNews(rowVersion, 0, 10, List.of(updates))));
        }

        @Test
        void contiguousUpdatesReplaceRead() {
            receive(8, update(4, 5), update(5, 7), update(7, 8));
            assertThat(catalog.rowVersion).isEqualTo(8);
            assertThat(configuration.reads).isEqualTo(0);
            assertThat(contact.keysConfirmed()).isTrue();
        }

        @Test
        void appliedUpdateAdvancesTableVersion() {
            receive(18, update(5, 18));
            assertThat(configuration.version).isEqualTo(18);
        }

        @Test
        void gapTriggersRead() {
            receive(8, update(7, 8));
            assertThat(catalog.rowVersion).isEqualTo(5);
            assertThat(configuration.reads).isEqualTo(1);
            assertThat(contact.keysConfirmed()).isFalse();
        }

        @Test
        void updateIsAppliedOnlyOnce() {
            receive(7, update(5, 7));
            receive(7, update(5, 7));
            assertThat(catalog.appliedCount).isEqualTo(1);
        }

        @Test
        void ignoresNewsBeforeFirstListing() {
            configuration.listed = false;
            receive(7, update(5, 7));
            assertThat(catalog.appliedCount).isEqualTo(0);
        }
    }

    private static final class FakeCatalog implements CatalogUpdateTarget {

        private long rowVersion = 5;
        private int appliedCount;
        private long versionInForce;

        @Override
        public boolean onVersionInForce(long configVersion) {
            versionInForce = configVersion;
            return true; // ConfigurationFeedTest covers what follows from it.
        }

        @Override
        public long rowVersion() {
            return rowVersion;
        }

        @Override
        public void apply(CatalogUpdate update) {
            rowVersion = update.rowVersion();
            appliedCount++;
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
        public void markFresh(long upTo, long asOfNanos) {
            version = Math.max(version, upTo);
            freshNanos = asOfNanos;
        }

        @Override
        public void readNow() {
            reads++;
        }
    }
}
