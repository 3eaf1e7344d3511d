package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.threeten.extra.MutableClock;

/**
 * Guards against endpoint changes that are lost or applied twice when hosts exchange news. Hosts read a changing list of
 * endpoints and send news to each other in random order, with losses; news may overtake the response of a read. A host
 * that reports a version must hold exactly the list of that version.
 */
final class StoreNewsFuzzTest {
    private static final int HOSTS = 4;
    private static final int IDS = 6;
    private static final int STEPS = 120;
    private static final int NEWS_INTERVAL_MS = 700;

    @Property(tries = 600, seed = "20261204")
    void hostsHoldExactlyTheListOfTheirVersion(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Store store = new Store();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(store));
        }
        for (int step = 0; step < STEPS; step++) {
            Host host = hosts.get(random.nextInt(HOSTS));
            switch (random.nextInt(5)) {
                case 0 -> store.change(random);
                case 1 -> host.startRead(random.nextInt(8) == 0);
                case 2 -> host.finishRead();
                default -> host.receiveNewsOf(hosts.get(random.nextInt(HOSTS)));
            }
            for (Host h : hosts) {
                assertWithMessage("step %s, version %s", step, h.version())
                        .that(h.ids())
                        .isEqualTo(store.idsAt(h.version()));
            }
        }
    }

    /**
     * Guards against versions that are compared across eras: the store comes back from a copy again and again, while hosts
     * read it and hear of each other. A host that reports a version of the store's era must hold exactly its list.
     */
    @Property(tries = 600, seed = "20261204")
    void hostsHoldExactlyTheListOfTheirVersionThroughRestores(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Store store = new Store();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(store));
        }
        for (int step = 0; step < 2 * STEPS; step++) {
            Host host = hosts.get(random.nextInt(HOSTS));
            switch (random.nextInt(16)) {
                case 0 -> store.restore(random);
                case 1, 2, 3, 4, 5 -> store.change(random);
                case 6, 7 -> host.startRead(random.nextInt(8) == 0);
                case 8, 9 -> host.finishRead();
                default -> host.receiveNewsOf(hosts.get(random.nextInt(HOSTS)));
            }
            for (Host h : hosts) {
                if (h.listed() && h.era.current() == store.era) {
                    assertWithMessage("step %s, version %s", step, h.version())
                            .that(h.ids())
                            .isEqualTo(store.idsAt(h.version()));
                }
            }
        }
    }

    private static DiscoveredEndpoint endpoint(String id) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, 1, "v1");
    }

    /** The store: every change, and the ids of the list at each version. */
    private static final class Store {
        private final List<EndpointChange> changes = new ArrayList<>();
        private final Map<Long, Set<String>> idsByVersion = new HashMap<>();
        private long version = 1;
        private long era = 1;

        Store() {
            idsByVersion.put(version, Set.of());
        }

        void change(SplittableRandom random) {
            Set<String> ids = new HashSet<>(idsByVersion.get(version));
            String id = "e" + random.nextInt(IDS);
            version++;
            if (ids.remove(id)) {
                changes.add(new EndpointChange(id, Optional.empty(), version));
            } else {
                ids.add(id);
                changes.add(new EndpointChange(id, Optional.of(endpoint(id)), version));
            }
            idsByVersion.put(version, ids);
        }

        /** Loses the last changes, whose versions are given out again. */
        void restore(SplittableRandom random) {
            version = Math.max(1, version - random.nextInt(6));
            changes.removeIf(c -> c.version() > version);
            era++;
        }

        /** The response to a read of the changes after a version. */
        RowPage changesAfter(long from) {
            List<VersionedRow> rows = new ArrayList<>();
            for (EndpointChange c : changes) {
                if (c.version() > from) {
                    rows.add(new VersionedRow(
                            c.id(), new byte[0], c.version(), c.entry().isEmpty()));
                }
            }
            return new RowPage(rows, version, false);
        }

        Set<String> idsAt(long v) {
            return idsByVersion.get(v);
        }
    }

    private static final class Host extends SimulatedTable {
        private final Store store;
        private final ManualMonotonicClock clock = new ManualMonotonicClock();
        private final EndpointRegistry registry =
                new EndpointRegistry(new EndpointLoads(), () -> 1, new NoOpEventLog());
        private final EndpointChangeLog log = new EndpointChangeLog();
        private final StoreNewsApplier applier = new StoreNewsApplier(
                era,
                registry,
                log,
                new Evacuations(new EvacuatedZones(), zone -> 0, new NoOpEventLog(), clock),
                new StoreContact(() -> 1, clock, MutableClock.of(Instant.EPOCH, ZoneOffset.UTC)),
                clock);
        private Optional<RowPage> response = Optional.empty();
        private long responseEra;

        Host(Store store) {
            this.store = store;
            list();
        }

        private void list() {
            progress.requireListing();
            progress.onReadSent();
            progress.accepts(store.era);
            progress.onReadSent();
            progress.onListingPage(new RowPage(List.of(), store.version, false), clock.nanos());
            List<DiscoveredEndpoint> listing = new ArrayList<>();
            store.idsAt(store.version).forEach(id -> listing.add(endpoint(id)));
            registry.onListing(listing, clock.nanos());
            log.restart(store.version);
        }

        void startRead(boolean historyGone) {
            if (response.isPresent()) {
                return;
            }
            if (historyGone || !listed()) {
                list();
                return;
            }
            progress.onReadSent();
            responseEra = store.era;
            response = Optional.of(store.changesAfter(version()));
        }

        void finishRead() {
            if (response.isPresent() && progress.accepts(responseEra)) {
                progress.onChanges(response.get(), clock.nanos()).forEach(this::applyRow);
            }
            response = Optional.empty();
        }

        private void applyRow(VersionedRow row) {
            Optional<DiscoveredEndpoint> entry = row.deleted() ? Optional.empty() : Optional.of(endpoint(row.key()));
            boolean changed =
                    entry.isPresent() ? registry.onUpdated(entry.get()) : registry.onRemoved(row.key(), clock.nanos());
            if (changed) {
                log.add(new EndpointChange(row.key(), entry, row.version()), clock.nanos());
            }
        }

        void receiveNewsOf(Host other) {
            other.clock.advanceMs(NEWS_INTERVAL_MS);
            other.log.expire(other.clock.nanos());
            StoreNews news = new StoreNews(
                    other.era.current(),
                    true,
                    other.version(),
                    other.listed() ? 0 : -1,
                    other.log.completeFrom(),
                    other.log.changes(),
                    ConfigurationNews.NONE,
                    EvacuationNews.UNKNOWN);
            applier.apply(news, clock.nanos(), this, this, this);
        }

        Set<String> ids() {
            Set<String> ids = new HashSet<>();
            registry.all().forEach(e -> ids.add(e.id()));
            return ids;
        }

        @Override
        public void readNow() {
            startRead(false);
        }
    }
}
