package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.threeten.extra.MutableClock;

/**
 * Guards the time within which a host stops sending to an endpoint that leaves. Endpoints leave at random times while
 * reports between hosts get lost, readers are killed, and some hosts cannot reach the store for a while. A host that
 * reaches the store, and has for some seconds, must have removed the endpoint within the time to drain it.
 */
final class LeavePropagationTest {
    private static final int HOSTS = 70;
    private static final long DRAIN_MS = 2_000;
    private static final long HEARTBEAT_MS = 1_200;

    /** Time after the end of a fault from which the bound holds for a host again. */
    private static final long CONTACT_MS = 3_000;

    private static final int STEP_MS = 20;
    private static final int DURATION_MS = 30_000;
    private static final int ROUND_MS = 200;
    private static final int FAN_OUT = 8;
    private static final int READ_MS = 10;
    private static final int RETRY_MS = 250;
    private static final double LOSS = 0.1;

    private static final ReadIntervals INTERVALS =
            new ReadIntervals((long) (0.3 * DRAIN_MS), 0, (long) (0.6 * DRAIN_MS), (long) (0.04 * DRAIN_MS));

    @Property(tries = 12, seed = "20261204")
    void everyHostInTouchRemovesALeavingEndpointInTime(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ManualMonotonicClock clock = new ManualMonotonicClock();
        Store store = new Store();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host("h" + i, store, clock, random));
        }
        hosts.forEach(Host::list);
        for (int ms = 0; ms < DURATION_MS; ms += STEP_MS) {
            clock.advanceMs(STEP_MS);
            if (random.nextInt(30) == 0) {
                store.removeOne(ms);
            }
            disturb(hosts, random, ms);
            for (Host h : hosts) {
                h.step(hosts, ms);
            }
            for (Host h : hosts) {
                checkRemoved(h, store, ms);
            }
        }
    }

    private static void disturb(List<Host> hosts, SplittableRandom random, int ms) {
        if (random.nextInt(60) != 0) {
            return;
        }
        Host h = hosts.get(random.nextInt(HOSTS));
        h.cutFromStoreUntilMs = ms + random.nextInt(6_000);
        if (random.nextBoolean()) {
            h.silentUntilMs = h.cutFromStoreUntilMs;
        }
    }

    private static void checkRemoved(Host h, Store store, int ms) {
        if (ms < h.cutFromStoreUntilMs + CONTACT_MS) {
            return;
        }
        for (DiscoveredEndpoint e : h.registry.all()) {
            Integer leftMs = store.leftAtMs.get(e.id());
            if (leftMs != null) {
                assertWithMessage("%s at %s ms uses %s", h.name, ms, e.id())
                        .that(ms - leftMs)
                        .isAtMost((int) DRAIN_MS);
            }
        }
    }

    private static DiscoveredEndpoint endpoint(String id) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, 1, "v1");
    }

    /** The store's list of endpoints, from which endpoints only leave. */
    private static final class Store {
        private static final int ENDPOINTS = 60;

        private final Map<Long, String> removals = new TreeMap<>();
        private final Map<String, Integer> leftAtMs = new TreeMap<>();
        private long version = 1;

        void removeOne(int ms) {
            if (leftAtMs.size() < ENDPOINTS) {
                String id = "e" + leftAtMs.size();
                leftAtMs.put(id, ms);
                removals.put(++version, id);
            }
        }

        RowPage changesAfter(long from) {
            List<VersionedRow> rows = new ArrayList<>();
            removals.forEach((v, id) -> {
                if (v > from) {
                    rows.add(new VersionedRow(id, new byte[0], v, true));
                }
            });
            return new RowPage(rows, version, false);
        }
    }

    private static final class Host extends SimulatedTable {
        private final String name;
        private final Store store;
        private final ManualMonotonicClock clock;
        private final SplittableRandom random;
        private final EndpointRegistry registry =
                new EndpointRegistry(new EndpointLoads(), () -> HEARTBEAT_MS * 1_000_000, new NoOpEventLog());
        private final EndpointChangeLog changes = new EndpointChangeLog();
        private final PeerTable peers;
        private final ReadSchedule schedule;
        private final ReaderSelection selection;
        private final StoreNewsApplier applier;

        private boolean reachable = true;
        private int cutFromStoreUntilMs;
        private int silentUntilMs;
        private int nextReadMs;
        private int readEndsMs = -1;
        private int nextRoundMs;
        private int nextTarget;
        private long sequence;
        private RowPage response;
        private long sentNanos;

        Host(String name, Store store, ManualMonotonicClock clock, SplittableRandom random) {
            this.name = name;
            this.store = store;
            this.clock = clock;
            this.random = random;
            this.peers = new PeerTable(name, new EndpointLoads(), new NoOpEventLog(), clock);
            this.selection = new ReaderSelection(name, peers);
            this.schedule = new GroupReadSchedule(selection, () -> INTERVALS);
            this.nextRoundMs = random.nextInt(ROUND_MS);
            MutableClock wall = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
            this.applier = new StoreNewsApplier(
                    new StoreEra(new NoOpEventLog(), () -> {}),
                    registry,
                    changes,
                    new Evacuations(new EvacuatedZones(), zone -> 0, new NoOpEventLog(), clock),
                    new StoreContact(() -> 1, clock, wall),
                    clock);
            for (int i = 0; i < HOSTS; i++) {
                peers.onHostListed("h" + i, new HostAddress("h" + i, 1));
            }
        }

        void list() {
            List<DiscoveredEndpoint> all = new ArrayList<>();
            for (int i = 0; i < Store.ENDPOINTS; i++) {
                all.add(endpoint("e" + i));
            }
            progress.onListingPage(new RowPage(List.of(), store.version, false), clock.nanos());
            registry.onStoreRead(clock.nanos(), clock.nanos());
            registry.onListing(all, clock.nanos());
            changes.restart(store.version);
        }

        void step(List<Host> hosts, int ms) {
            registry.removeLapsed(clock.nanos());
            if (readEndsMs >= 0 && ms >= readEndsMs) {
                finishRead(hosts, ms);
            }
            if (readEndsMs < 0 && ms >= nextReadMs && schedule.delayMs(ageMs()) <= 0) {
                startRead(ms);
            }
            if (ms >= nextRoundMs) {
                nextRoundMs = ms + ROUND_MS;
                peers.refreshPeerLoads();
                for (int i = 0; i < FAN_OUT; i++) {
                    sendTo(hosts.get(nextTarget++ % HOSTS), ms);
                }
            }
        }

        private long ageMs() {
            return (clock.nanos() - progress.asOfNanos()) / 1_000_000;
        }

        private void startRead(int ms) {
            sentNanos = clock.nanos();
            response = ms < cutFromStoreUntilMs ? null : store.changesAfter(progress.version());
            readEndsMs = ms + READ_MS;
        }

        private void finishRead(List<Host> hosts, int ms) {
            readEndsMs = -1;
            reachable = response != null;
            if (!reachable) {
                registry.onReadFailure(clock.nanos());
                nextReadMs = ms + RETRY_MS;
                return;
            }
            List<VersionedRow> newer = progress.onChanges(response, sentNanos);
            registry.onStoreRead(sentNanos, clock.nanos());
            for (VersionedRow row : newer) {
                if (registry.onRemoved(row.key(), clock.nanos())) {
                    changes.add(new EndpointChange(row.key(), Optional.empty(), row.version()), clock.nanos());
                }
            }
            for (String host : selection.group()) {
                sendTo(hosts.get(Integer.parseInt(host.substring(1))), ms);
            }
        }

        private void sendTo(Host to, int ms) {
            if (to == this || ms < silentUntilMs || ms < to.silentUntilMs || random.nextDouble() < LOSS) {
                return;
            }
            changes.expire(clock.nanos());
            StoreNews news = new StoreNews(
                    0,
                    reachable,
                    progress.version(),
                    ageMs(),
                    changes.completeFrom(),
                    changes.changes(),
                    ConfigurationNews.NONE,
                    EvacuationNews.UNKNOWN);
            HostAddress address = new HostAddress(name, 1);
            to.receive(new HostReport(
                    name,
                    address,
                    1,
                    ++sequence,
                    List.of(),
                    List.of(),
                    CrashReport.NONE,
                    PartReport.NONE,
                    List.of(),
                    List.of(),
                    news));
        }

        private void receive(HostReport report) {
            if (peers.onReport(report)) {
                applier.apply(report.news(), clock.nanos(), this, this, this);
            }
        }

        @Override
        public void readNow() {
            nextReadMs = 0;
        }
    }
}
