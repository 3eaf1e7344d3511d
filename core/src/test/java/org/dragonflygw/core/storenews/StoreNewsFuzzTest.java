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
import org.dragonflygw.core.log.NoOpEventLog;
import org.threeten.extra.MutableClock;

/**
 * Hosts read a changing list of endpoints and tell each other in any order, with losses. A host that says it knows the
 * list up to a version must know exactly the list of that version.
 */
final class StoreNewsFuzzTest {
    private static final int HOSTS = 4;
    private static final int IDS = 6;
    private static final int STEPS = 120;
    private static final int TELL_MS = 700;

    @Property(tries = 600, seed = "20261204")
    void hostsKnowTheListOfTheVersionTheyName(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Store store = new Store();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(store));
        }
        for (int step = 0; step < STEPS; step++) {
            Host host = hosts.get(random.nextInt(HOSTS));
            switch (random.nextInt(4)) {
                case 0 -> store.change(random);
                case 1 -> host.read(random.nextInt(8) == 0);
                default -> host.hear(hosts.get(random.nextInt(HOSTS)));
            }
            for (Host h : hosts) {
                assertWithMessage("step %s, version %s", step, h.version)
                        .that(h.ids())
                        .isEqualTo(store.idsAt(h.version));
            }
        }
    }

    /** These hosts know no configuration. */
    private static final class NoCatalog implements CatalogUpdateTarget {
        @Override
        public long rowVersion() {
            return 0;
        }

        @Override
        public void apply(CatalogUpdate update) {
            throw new AssertionError("no update was told");
        }
    }

    private static DiscoveredEndpoint endpoint(String id) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, 1);
    }

    /** The truth: every change with its version. */
    private static final class Store {
        private final List<EndpointChange> changes = new ArrayList<>();
        private final Map<Long, Set<String>> idsByVersion = new HashMap<>();
        private long version = 1;

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

        Set<String> idsAt(long v) {
            return idsByVersion.get(v);
        }
    }

    private static final class Host implements FollowedTable {
        private final Store store;
        private final ManualMonotonicClock clock = new ManualMonotonicClock();
        private final EndpointRegistry registry = new EndpointRegistry(new EndpointLoads(), new NoOpEventLog());
        private final EndpointChangeLog log = new EndpointChangeLog();
        private final StoreNewsApplier taker = new StoreNewsApplier(
                registry, log, new StoreContact(() -> 1, clock, MutableClock.of(Instant.EPOCH, ZoneOffset.UTC)), clock);
        private long version;

        Host(Store store) {
            this.store = store;
            list();
        }

        private void list() {
            version = store.version;
            List<DiscoveredEndpoint> listing = new ArrayList<>();
            store.idsAt(version).forEach(id -> listing.add(endpoint(id)));
            registry.onListing(listing, clock.nanos());
            log.restart(version);
        }

        void read(boolean historyGone) {
            if (historyGone) {
                list();
                return;
            }
            for (EndpointChange c : store.changes) {
                if (c.version() > version) {
                    boolean changed = c.entry().isPresent()
                            ? registry.onUpdated(c.entry().get())
                            : registry.onRemoved(c.id(), clock.nanos());
                    if (changed) {
                        log.add(c, clock.nanos());
                    }
                }
            }
            version = store.version;
        }

        void hear(Host other) {
            other.clock.advanceMs(TELL_MS);
            other.log.expire(other.clock.nanos());
            StoreNews news = new StoreNews(
                    true, other.version, 0, other.log.completeFrom(), other.log.changes(), ConfigurationNews.NONE);
            taker.apply(news, this, this, new NoCatalog());
        }

        Set<String> ids() {
            Set<String> ids = new HashSet<>();
            registry.all().forEach(e -> ids.add(e.id()));
            return ids;
        }

        @Override
        public boolean listed() {
            return true;
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public void markFresh(long upTo, long asOfNanos) {
            version = Math.max(version, upTo);
        }

        @Override
        public void readNow() {
            read(false);
        }
    }
}
