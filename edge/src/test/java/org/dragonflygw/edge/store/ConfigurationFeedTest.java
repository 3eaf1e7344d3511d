package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogChange;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.core.storenews.CatalogUpdate;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.EndpointChangeLog;
import org.dragonflygw.core.storenews.FollowedTable;
import org.dragonflygw.core.storenews.StoreEra;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.core.storenews.StoreNewsApplier;
import org.dragonflygw.platform.adapter.CatalogDecoder;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Several hosts read a changing configuration and exchange updates in random order, with reads that are lost. A host
 * that reports a row version must have exactly the configuration of that version, and must never return to an older
 * one.
 */
final class ConfigurationFeedTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HOSTS = 4;
    private static final int STEPS = 400;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void configurationMatchesTheReportedRowVersionAndNeverGoesBack(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Operator operator = new Operator(random);
        operator.change();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(operator));
        }
        int applied = 0;
        for (int step = 0; step < STEPS; step++) {
            Host host = hosts.get(random.nextInt(HOSTS));
            switch (random.nextInt(6)) {
                case 0 -> operator.change();
                case 1 -> host.read();
                default -> applied += host.applyNewsOf(hosts.get(random.nextInt(HOSTS)));
            }
            hosts.forEach(Host::check);
        }
        assertThat(applied).isGreaterThan(10);
    }

    /** The store came back from a copy that holds an older configuration. */
    @Nested
    final class RestoredStore {
        private boolean othersHeard = true;
        private final CatalogHolder catalogs = new CatalogHolder();
        private final StoreContact contact =
                new StoreContact(() -> TimeUnit.MINUTES.toNanos(1), System::nanoTime, InstantSource.system());
        private final ConfigurationFeed feed = new ConfigurationFeed(
                new CatalogDecoder(new JsonTreeReader()), catalogs, contact, new NoOpEventLog(), () -> othersHeard);

        private VersionedRow row(long rowVersion, long configVersion, String key) {
            ObjectNode root = MAPPER.createObjectNode();
            root.put("version", configVersion);
            root.putArray("routes");
            root.putArray("tenants")
                    .addObject()
                    .put("name", "t")
                    .putArray("api_keys")
                    .add(key);
            return new VersionedRow(
                    CatalogDecoder.ROW_KEY, root.toString().getBytes(StandardCharsets.UTF_8), rowVersion, false);
        }

        private void list(VersionedRow row) {
            feed.onListing(List.of(row), row.version(), System.nanoTime());
        }

        @Test
        void configurationInForceStaysUntilTheOperatorWritesANewerOne() {
            list(row(100, 20, "new"));
            feed.onNewEra();
            list(row(80, 18, "revoked"));
            assertThat(catalogs.version()).isEqualTo(20);
            assertThat(contact.keysConfirmed()).isTrue();
            feed.onChanges(List.of(row(95, 21, "newest")), System.nanoTime());
            assertThat(catalogs.version()).isEqualTo(21);
        }

        /** Guards against a revoked key that a host accepts which has read only the copy. */
        @Test
        void hostThatStartedAfterwardsConfirmsNoKeysUntilItHasTheNewestConfiguration() {
            list(row(80, 18, "revoked"));
            assertThat(contact.keysConfirmed()).isTrue();
            feed.onVersionInForce(20);
            assertThat(contact.keysConfirmed()).isFalse();
            feed.onChanges(List.of(), System.nanoTime());
            assertThat(contact.keysConfirmed()).isFalse();
            feed.onChanges(List.of(row(95, 20, "new")), System.nanoTime());
            assertThat(contact.keysConfirmed()).isTrue();
        }

        /** Guards against a host that confirms the keys of the copy before it can have heard of a newer configuration. */
        @Test
        void hostThatStartsConfirmsNoKeysByItsReadBeforeItHasHeardTheOthers() {
            othersHeard = false;
            list(row(80, 18, "revoked"));
            feed.confirmRead();
            assertThat(contact.keysConfirmed()).isFalse();
            othersHeard = true;
            feed.confirmRead();
            assertThat(contact.keysConfirmed()).isTrue();
        }

        @Test
        void hostThatHearsOfANewerConfigurationFirstDoesNotConfirmItsRead() {
            othersHeard = false;
            list(row(80, 18, "revoked"));
            feed.onVersionInForce(20);
            othersHeard = true;
            feed.confirmRead();
            assertThat(contact.keysConfirmed()).isFalse();
        }

        /** Guards against a confirmation that a report withdraws and gives again, as it names the same row as fresh. */
        @Test
        void aReportOfANewerConfigurationBesideTheSameRowConfirmsNoKeys() {
            Operator operator = new Operator(new SplittableRandom(1));
            operator.change();
            Host restarted = new Host(operator);
            Host other = new Host(operator);
            assertThat(restarted.contact.keysConfirmed()).isTrue();
            restarted.applyNewsOf(other, other.catalogs.version());
            assertThat(restarted.contact.keysConfirmed()).isTrue();
            restarted.applyNewsOf(other, other.catalogs.version() + 1);
            assertThat(restarted.contact.keysConfirmed()).isFalse();
            restarted.applyNewsOf(other, other.catalogs.version());
            assertThat(restarted.contact.keysConfirmed()).isFalse();
        }

        /** Guards against differences from the copy that are applied to the newer configuration in force. */
        @Test
        void differencesAreNeitherToldNorAppliedBesideAnOlderRow() {
            list(row(100, 20, "new"));
            feed.onNewEra();
            list(row(80, 18, "revoked"));
            Catalog copy = new CatalogDecoder(new JsonTreeReader())
                    .decode(row(80, 18, "revoked").data());
            Catalog next = new CatalogDecoder(new JsonTreeReader())
                    .decode(row(95, 21, "newest").data());
            feed.apply(
                    new CatalogUpdate(80, 95, CatalogChange.between(copy, next).orElseThrow()));
            assertThat(catalogs.version()).isEqualTo(20);
            feed.onChanges(List.of(row(95, 21, "newest")), System.nanoTime());
            assertThat(catalogs.current().orElseThrow().teamsByKey().keySet()).containsExactly("newest");
            assertThat(feed.news().updates()).isEmpty();
        }
    }

    private static final class Operator {
        private final SplittableRandom random;
        private final List<VersionedRow> rows = new ArrayList<>();
        private long version;

        Operator(SplittableRandom random) {
            this.random = random;
        }

        void change() {
            version += 1 + random.nextInt(3);
            ObjectNode root = MAPPER.createObjectNode();
            root.put("version", version);
            ArrayNode routes = root.putArray("routes");
            ArrayNode tenants = root.putArray("tenants");
            for (int i = 0; i < 6; i++) {
                if (random.nextInt(4) > 0) {
                    routes.addObject()
                            .put("name", "r" + i)
                            .put("host", "h")
                            .put("path_prefix", "/" + i + "/")
                            .put("timeout_ms", 1_000 + random.nextInt(3));
                    tenants.addObject()
                            .put("name", "t" + i)
                            .putArray("api_keys")
                            .add("k" + random.nextInt(9));
                }
            }
            byte[] json = root.toString().getBytes(StandardCharsets.UTF_8);
            rows.add(new VersionedRow(CatalogDecoder.ROW_KEY, json, 10 * version, false));
        }

        VersionedRow newest() {
            return rows.get(rows.size() - 1);
        }

        Catalog at(long rowVersion) {
            VersionedRow row = rows.stream()
                    .filter(r -> r.version() == rowVersion)
                    .findFirst()
                    .orElseThrow();
            return new CatalogDecoder(new JsonTreeReader()).decode(row.data());
        }
    }

    private static final class Host implements FollowedTable {
        private final Operator operator;
        private final CatalogHolder catalogs = new CatalogHolder();
        private final StoreContact contact =
                new StoreContact(() -> TimeUnit.MINUTES.toNanos(1), System::nanoTime, InstantSource.system());
        private final ConfigurationFeed feed = new ConfigurationFeed(
                new CatalogDecoder(new JsonTreeReader()), catalogs, contact, new NoOpEventLog(), () -> true);
        private final StoreNewsApplier newsApplier = new StoreNewsApplier(
                new StoreEra(new NoOpEventLog(), () -> {}),
                new EndpointRegistry(new EndpointLoads(), () -> 1, new NoOpEventLog()),
                new EndpointChangeLog(),
                new Evacuations(new EvacuatedZones(), zone -> 0, new NoOpEventLog(), System::nanoTime),
                contact,
                System::nanoTime);
        private long lastVersion;

        Host(Operator operator) {
            this.operator = operator;
            read();
        }

        void read() {
            feed.onChanges(List.of(operator.newest()), System.nanoTime());
        }

        /** Applies the news of another host; returns 1 if the configuration in force changed, otherwise 0. */
        int applyNewsOf(Host other) {
            return applyNewsOf(other, other.catalogs.version());
        }

        /** Applies the news of another host that has a configuration of some version in force beside its row. */
        int applyNewsOf(Host other, long configVersion) {
            ConfigurationNews own = other.feed.news();
            ConfigurationNews news = new ConfigurationNews(own.rowVersion(), configVersion, own.ageMs(), own.updates());
            long before = feed.rowVersion();
            EvacuationNews noZones = new EvacuationNews(other.feed.rowVersion(), List.of());
            newsApplier.apply(
                    new StoreNews(0, true, 0, -1, 0, List.of(), news, noZones), System.nanoTime(), this, this, feed);
            return feed.rowVersion() > before ? 1 : 0;
        }

        void check() {
            Catalog actual = catalogs.current().orElseThrow();
            Catalog expected = operator.at(feed.rowVersion());
            assertWithMessage("routes of row %s", feed.rowVersion())
                    .that(actual.routes())
                    .containsExactlyElementsIn(expected.routes());
            assertThat(actual.teamsByKey()).isEqualTo(expected.teamsByKey());
            assertThat(actual.version()).isEqualTo(expected.version());
            assertThat(actual.version()).isAtLeast(lastVersion);
            lastVersion = actual.version();
        }

        @Override
        public boolean listed() {
            return true;
        }

        @Override
        public long version() {
            return feed.rowVersion();
        }

        @Override
        public void markFresh(long version, long asOfNanos) {
            assertThat(version).isEqualTo(feed.rowVersion());
        }

        @Override
        public void readNow() {
            // The request is dropped: the test decides when a host reads.
        }
    }
}
