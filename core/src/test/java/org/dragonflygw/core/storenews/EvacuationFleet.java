package org.dragonflygw.core.storenews;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationChange;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportTargets;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;

/**
 * Hosts that follow the operator's table on virtual time: long polls of the readers, news in reports that get lost, are late
 * and overtake each other. The intervals are those of the edge with 3 s for a configuration to apply.
 */
final class EvacuationFleet {
    static final String ZONE = "zone-a";

    private static final int STEP_MS = 10;
    private static final int ROUND_MS = 200;
    private static final int FAN_OUT = 8;
    private static final int READ_MS = 10;
    private static final int TIMEOUT_MS = 700;
    private static final int RETRY_MS = 250;
    private static final int MAX_DELAY_MS = 60;
    private static final double LATE = 0.005;

    /** Longest delay of a report; a host that was paused for longer ignores the news in it. */
    private static final int MAX_LATE_MS = 600;

    private static final double LOSS = 0.05;
    private static final int CONFIG_APPLY_MS = 3_000;
    private static final ReadIntervals INTERVALS = new ReadIntervals(
            0, (long) (0.4 * CONFIG_APPLY_MS), (long) (0.72 * CONFIG_APPLY_MS), (long) (0.04 * CONFIG_APPLY_MS));

    /** How a host reaches the store. */
    enum StoreLink {
        GOOD,
        REFUSED,
        SILENT
    }

    final List<Host> hosts = new ArrayList<>();
    final SplittableRandom random;
    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final Store store = new Store();
    private int ms;

    /** Share of reports that are late by up to {@link #MAX_LATE_MS}. */
    double late = LATE;

    EvacuationFleet(int count, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            addHost();
        }
        run(3_000);
    }

    /** Starts one more host, which reads everything first. */
    Host addHost() {
        Host added = new Host("h" + hosts.size());
        hosts.forEach(h -> added.peers.onHostListed(h.name, h.address));
        hosts.forEach(h -> h.peers.onHostListed(added.name, added.address));
        hosts.add(added);
        return added;
    }

    void evacuate() {
        store.write(true);
    }

    void endEvacuation() {
        store.write(false);
    }

    /** Takes the store back to a state without its last {@code lost} changes. */
    void restoreWithout(int lost) {
        store.restoreWithout(lost);
    }

    void run(int millis) {
        for (int end = ms + millis; ms < end; ms += STEP_MS) {
            clock.advanceMs(STEP_MS);
            hosts.forEach(Host::step);
        }
    }

    /** Runs until all hosts in touch with the store see the zone as given; returns the time that it took, in milliseconds. */
    int msUntilAllSee(boolean evacuated, int maxMs) {
        int start = ms;
        while (ms - start <= maxMs && !allSee(evacuated)) {
            run(STEP_MS);
        }
        return ms - start;
    }

    boolean allSee(boolean evacuated) {
        return hosts.stream()
                .filter(h -> h.link != StoreLink.SILENT)
                .allMatch(h -> h.sees() == evacuated || !h.progress.listed());
    }

    List<Host> readers() {
        return hosts.stream().filter(h -> h.selection.isReader()).toList();
    }

    long reads() {
        return hosts.stream().mapToLong(h -> h.reads).sum();
    }

    /** The operator's table: the configuration at version 1, then changes of one evacuation. */
    private static final class Store {
        private final TreeMap<Long, Boolean> changes = new TreeMap<>();
        private long version = 1;
        private long era = 1;

        void write(boolean evacuated) {
            changes.put(++version, evacuated);
        }

        void restoreWithout(int lost) {
            for (int i = 0; i < lost; i++) {
                changes.pollLastEntry();
                version--;
            }
            era++;
        }

        RowPage listing() {
            boolean evacuated = !changes.isEmpty() && changes.lastEntry().getValue();
            List<VersionedRow> rows =
                    evacuated ? List.of(new VersionedRow(ZONE, new byte[0], version, false)) : List.of();
            return new RowPage(rows, version, false);
        }

        /** Names each changed row once, with its latest version, as the platform does. */
        RowPage changesAfter(long from) {
            if (version <= from) {
                return new RowPage(List.of(), from, false);
            }
            return new RowPage(
                    List.of(new VersionedRow(
                            ZONE, new byte[0], version, !changes.lastEntry().getValue())),
                    version,
                    false);
        }
    }

    private record Datagram(int atMs, long order, HostReport report) {}

    final class Host implements FollowedTable, CatalogUpdateTarget {
        final String name;
        final PeerTable peers;
        final ReaderSelection selection;
        StoreLink link = StoreLink.GOOD;
        boolean silent;

        private final HostAddress address;
        private final EvacuatedZones zones = new EvacuatedZones();
        private final Evacuations evacuations = new Evacuations(zones, z -> 0, new NoOpEventLog(), clock);
        private final StoreEra era = new StoreEra(new NoOpEventLog(), this::onNewEra);
        private final TableProgress progress = new TableProgress(era);
        private final StoreContact contact;
        private final ReadSchedule schedule;
        private final StoreNewsApplier applier;
        private final ReportTargets targets = new ReportTargets(FAN_OUT, random.split());
        private final PriorityQueue<Datagram> inbox = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Integer.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
        private final NoEndpoints endpoints = new NoEndpoints();
        private boolean reachable = true;
        private boolean reading;
        private boolean readRequestedByNews;
        private StoreLink linkOfRead = StoreLink.GOOD;
        private int pollEndsMs;
        private int answerAtMs;
        private long eraAtAnswer;
        private long sentNanos;
        private int nextCheckMs;
        private int nextRoundMs = ms + random.nextInt(ROUND_MS);
        private long sequence;
        private long reads;

        Host(String name) {
            this.name = name;
            this.address = new HostAddress(name, 1);
            EndpointLoads loads = new EndpointLoads();
            this.peers = new PeerTable(name, loads, new NoOpEventLog(), clock);
            this.selection = new ReaderSelection(name, peers);
            this.schedule = new GroupReadSchedule(selection, () -> INTERVALS);
            this.contact = new StoreContact(
                    () -> TimeUnit.HOURS.toNanos(1), clock, () -> Instant.ofEpochMilli(clock.nanos() / 1_000_000));
            this.applier = new StoreNewsApplier(
                    era,
                    new EndpointRegistry(loads, () -> 1_200_000_000L, new NoOpEventLog()),
                    new EndpointChangeLog(),
                    evacuations,
                    contact,
                    clock);
        }

        boolean sees() {
            return zones.contains(ZONE);
        }

        boolean isListed() {
            return progress.listed();
        }

        private void onNewEra() {
            evacuations.onNewEra();
            readNow();
        }

        void step() {
            while (!inbox.isEmpty() && inbox.peek().atMs <= ms) {
                receive(inbox.poll().report);
            }
            if (reading) {
                continueRead();
            } else if (ms >= nextCheckMs) {
                check();
            }
            if (ms >= nextRoundMs) {
                nextRoundMs = ms + ROUND_MS;
                peers.refreshPeerLoads();
                targets.next(peers.addresses()).forEach(this::sendTo);
            }
        }

        private void check() {
            long delayMs = listed() ? schedule.delayMs((clock.nanos() - progress.asOfNanos()) / 1_000_000) : 0;
            if (delayMs <= 0) {
                startRead();
            } else {
                nextCheckMs = ms + (int) delayMs;
            }
        }

        private void startRead() {
            reads++;
            reading = true;
            progress.onReadSent();
            sentNanos = clock.nanos();
            linkOfRead = link;
            pollEndsMs = ms + (listed() ? (int) schedule.longPollMs() : 0);
            answerAtMs = switch (link) {
                case GOOD -> Integer.MAX_VALUE;
                case REFUSED -> ms + READ_MS;
                case SILENT -> pollEndsMs + TIMEOUT_MS;
            };
        }

        private void continueRead() {
            boolean hasAnswer = !listed() || store.version > version() || store.era != era.current();
            if (linkOfRead == StoreLink.GOOD && answerAtMs == Integer.MAX_VALUE && (hasAnswer || ms >= pollEndsMs)) {
                answerAtMs = ms + READ_MS;
                eraAtAnswer = store.era;
            }
            if (ms >= answerAtMs) {
                finishRead();
            }
        }

        private void finishRead() {
            reading = false;
            reachable = linkOfRead == StoreLink.GOOD;
            if (!reachable || !progress.accepts(eraAtAnswer)) {
                nextCheckMs = ms + RETRY_MS;
                return;
            }
            if (!listed()) {
                RowPage page = store.listing();
                progress.onListingPage(page, sentNanos);
                evacuations.onListing(
                        page.rows().stream().map(VersionedRow::key).toList(), version());
            } else {
                List<VersionedRow> newer = progress.onChanges(store.changesAfter(version()), sentNanos);
                long newest =
                        newer.stream().mapToLong(VersionedRow::version).max().orElse(evacuations.version());
                evacuations.onChanges(
                        newer.stream()
                                .map(r -> new EvacuationChange(r.key(), r.version(), !r.deleted()))
                                .toList(),
                        newest);
                if (!readRequestedByNews) {
                    peers.addressesOf(selection.group()).forEach(this::sendTo);
                }
            }
            readRequestedByNews = false;
            contact.onRead(sentNanos);
            check();
        }

        private void sendTo(HostAddress to) {
            Host target = hosts.get(Integer.parseInt(to.ip().substring(1)));
            if (silent || target.silent || random.nextDouble() < LOSS) {
                return;
            }
            evacuations.releaseHeld();
            ConfigurationNews configuration =
                    listed() ? new ConfigurationNews(1, 1, contact.ageMs(), List.of()) : ConfigurationNews.NONE;
            StoreNews news =
                    new StoreNews(era.current(), reachable, 0, -1, 0, List.of(), configuration, evacuations.news());
            HostReport report = new HostReport(
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
                    news);
            int delayMs = 1 + random.nextInt(random.nextDouble() < late ? MAX_LATE_MS : MAX_DELAY_MS);
            target.inbox.add(new Datagram(ms + delayMs, sequence, report));
        }

        private void receive(HostReport report) {
            if (!silent && peers.onReport(report)) {
                applier.apply(report.news(), clock.nanos(), endpoints, this, this);
            }
        }

        @Override
        public boolean listed() {
            return progress.listed();
        }

        @Override
        public long version() {
            return progress.version();
        }

        @Override
        public void markFresh(long upTo, long asOfNanos) {
            progress.advance(upTo, asOfNanos);
        }

        @Override
        public void readNow() {
            if (!reading) {
                readRequestedByNews = true;
                nextCheckMs = 0;
            }
        }

        @Override
        public long rowVersion() {
            return listed() ? 1 : 0;
        }

        @Override
        public boolean onVersionInForce(long configVersion) {
            return true; // All hosts have the same configuration.
        }

        @Override
        public void apply(CatalogUpdate update) {
            throw new AssertionError("the configuration does not change");
        }
    }

    /** A list of endpoints that is never read, so that news of endpoints are ignored. */
    private static final class NoEndpoints implements FollowedTable {
        @Override
        public boolean listed() {
            return false;
        }

        @Override
        public long version() {
            return 0;
        }

        @Override
        public void markFresh(long version, long asOfNanos) {
            // Not reached before the first listing.
        }

        @Override
        public void readNow() {
            // Nothing to read.
        }
    }
}
