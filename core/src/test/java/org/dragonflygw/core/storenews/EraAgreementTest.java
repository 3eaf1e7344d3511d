package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportTargets;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storage.RowPage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.threeten.extra.MutableClock;

/**
 * The time from the return of a store that came back from a copy until all hosts have read it again. Drills come in
 * series; each begins with a short outage, and reports between hosts get lost.
 */
final class EraAgreementTest {
    private static final int DRILLS = 4;
    private static final int MAX_OUTAGE_MS = 1_500;
    private static final int MAX_PAUSE_MS = 2_000;
    private static final int STEP_MS = 10;
    private static final int ROUND_MS = 200;
    private static final int FAN_OUT = 8;
    private static final int READ_MS = 10;
    private static final int RETRY_MS = 250;
    private static final int DRAIN_MS = 2_000;
    private static final double LOSS = 0.05;
    private static final ReadIntervals INTERVALS =
            new ReadIntervals((long) (0.3 * DRAIN_MS), 0, (long) (0.6 * DRAIN_MS), (long) (0.04 * DRAIN_MS));

    /** Guards against hosts that learn late that versions are given out again. */
    @ParameterizedTest
    @CsvSource({"6, 4000, 1", "6, 4000, 2", "95, 6000, 3", "401, 6000, 4"})
    void allHostsAgreeWithinTheTimeToCatchUp(int count, int catchUpMs, long seed) {
        Fleet fleet = new Fleet(count, seed);
        for (int i = 0; i < DRILLS; i++) {
            fleet.run(fleet.random.nextInt(MAX_PAUSE_MS));
            fleet.outage(fleet.random.nextInt(MAX_OUTAGE_MS));
            int ms = fleet.msUntilAgreement(catchUpMs);
            assertWithMessage("drill %s of seed %s", i, seed).that(ms).isAtMost(catchUpMs);
        }
    }

    /** Guards against drills that follow each other before all hosts have read the store again. */
    @ParameterizedTest
    @CsvSource({"6, 4000, 5", "95, 6000, 6"})
    void allHostsAgreeAfterDrillsThatOverlap(int count, int catchUpMs, long seed) {
        Fleet fleet = new Fleet(count, seed);
        for (int i = 0; i < DRILLS; i++) {
            fleet.outage(fleet.random.nextInt(MAX_OUTAGE_MS / 5));
            fleet.run(fleet.random.nextInt(MAX_PAUSE_MS / 10));
        }
        assertThat(fleet.msUntilAgreement(catchUpMs)).isAtMost(catchUpMs);
    }

    private static final class Fleet {
        private final ManualMonotonicClock clock = new ManualMonotonicClock();
        private final SplittableRandom random;
        private final List<Host> hosts = new ArrayList<>();
        private long storeEra = 1;
        private boolean storeUp = true;
        private int ms;

        Fleet(int count, long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < count; i++) {
                hosts.add(new Host("h" + i, count));
            }
            run(MAX_PAUSE_MS);
        }

        void run(int millis) {
            for (int end = ms + millis; ms < end; ms += STEP_MS) {
                clock.advanceMs(STEP_MS);
                hosts.forEach(Host::step);
            }
        }

        void outage(int millis) {
            storeUp = false;
            run(millis);
            storeUp = true;
            storeEra++;
        }

        int msUntilAgreement(int maxMs) {
            int start = ms;
            while (!hosts.stream().allMatch(Host::agrees) && ms - start <= maxMs) {
                run(STEP_MS);
            }
            return ms - start;
        }

        private final class Host extends SimulatedTable {
            private final String name;
            private final PeerTable peers;
            private final ReadSchedule schedule;
            private final ReaderSelection selection;
            private final StoreNewsApplier applier;
            private final ReportTargets targets = new ReportTargets(FAN_OUT, random.split());
            private boolean reachable = true;
            private int nextReadMs;
            private int readEndsMs = -1;
            private int nextRoundMs = random.nextInt(ROUND_MS);
            private long readEra;
            private long sentNanos;
            private long sequence;

            Host(String name, int count) {
                this.name = name;
                EndpointLoads loads = new EndpointLoads();
                this.peers = new PeerTable(name, loads, new NoOpEventLog(), clock);
                this.selection = new ReaderSelection(name, peers);
                this.schedule = new GroupReadSchedule(selection, () -> INTERVALS);
                this.applier = new StoreNewsApplier(
                        era,
                        new EndpointRegistry(loads, () -> 1_200_000_000L, new NoOpEventLog()),
                        new EndpointChangeLog(),
                        new Evacuations(new EvacuatedZones(), zone -> 0, new NoOpEventLog(), clock),
                        new StoreContact(() -> 1, clock, MutableClock.of(Instant.EPOCH, ZoneOffset.UTC)),
                        clock);
                for (int i = 0; i < count; i++) {
                    peers.onHostListed("h" + i, new HostAddress("h" + i, 1));
                }
            }

            boolean agrees() {
                return era.current() == storeEra && progress.listed();
            }

            void step() {
                if (readEndsMs >= 0 && ms >= readEndsMs) {
                    finishRead();
                }
                boolean due = !listed() || schedule.delayMs(ageMs()) <= 0;
                if (readEndsMs < 0 && ms >= nextReadMs && due) {
                    readEndsMs = ms + READ_MS;
                    readEra = storeUp ? storeEra : StoreEra.UNKNOWN;
                    sentNanos = clock.nanos();
                    progress.onReadSent();
                }
                if (ms >= nextRoundMs) {
                    nextRoundMs = ms + ROUND_MS;
                    peers.refreshPeerLoads();
                    targets.next(peers.addresses()).forEach(this::sendTo);
                }
            }

            private long ageMs() {
                return (clock.nanos() - progress.asOfNanos()) / 1_000_000;
            }

            private void finishRead() {
                readEndsMs = -1;
                reachable = readEra != StoreEra.UNKNOWN;
                if (!reachable || !progress.accepts(readEra)) {
                    nextReadMs = ms + RETRY_MS;
                    return;
                }
                RowPage page = new RowPage(List.of(), 1, false);
                if (progress.listed()) {
                    progress.onChanges(page, sentNanos);
                    peers.addressesOf(selection.group()).forEach(this::sendTo);
                } else {
                    progress.onListingPage(page, sentNanos);
                }
            }

            private void sendTo(HostAddress to) {
                if (random.nextDouble() < LOSS) {
                    return;
                }
                StoreNews news = new StoreNews(
                        era.current(),
                        reachable,
                        version(),
                        listed() ? ageMs() : -1,
                        version(),
                        List.of(),
                        ConfigurationNews.NONE,
                        EvacuationNews.UNKNOWN);
                HostReport report = new HostReport(
                        name,
                        new HostAddress(name, 1),
                        1,
                        ++sequence,
                        List.of(),
                        List.of(),
                        CrashReport.NONE,
                        PartReport.NONE,
                        List.of(),
                        List.of(),
                        news);
                Host target = hosts.get(Integer.parseInt(to.ip().substring(1)));
                if (target.peers.onReport(report)) {
                    target.applier.apply(news, clock.nanos(), target, target, target);
                }
            }

            @Override
            public void readNow() {
                nextReadMs = 0;
            }
        }
    }
}
