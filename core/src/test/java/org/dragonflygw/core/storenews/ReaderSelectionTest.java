package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.junit.jupiter.api.Test;

final class ReaderSelectionTest {
    private static final HostAddress ADDRESS = new HostAddress("10.0.0.1", 7_000);

    private final ManualMonotonicClock clock = new ManualMonotonicClock();

    private ReaderSelection selection(String self, int hosts, String unreachable) {
        PeerTable peers = new PeerTable(self, new EndpointLoads(), new NoOpEventLog(), clock);
        for (int i = 0; i < hosts; i++) {
            String host = "h" + i;
            StoreNews news = new StoreNews(
                    0,
                    !host.equals(unreachable),
                    1,
                    1,
                    0,
                    List.of(),
                    new ConfigurationNews(1, 0, 1, List.of()),
                    EvacuationNews.UNKNOWN);
            peers.onReport(new HostReport(
                    host,
                    ADDRESS,
                    1,
                    1,
                    List.of(),
                    List.of(),
                    CrashReport.NONE,
                    PartReport.NONE,
                    List.of(),
                    List.of(),
                    news));
        }
        return new ReaderSelection(self, peers);
    }

    private List<String> readers(int hosts, String unreachable) {
        List<String> readers = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            if (selection("h" + i, hosts, unreachable).isReader()) {
                readers.add("h" + i);
            }
        }
        return readers;
    }

    @Test
    void smallFleetHasOneReader() {
        assertThat(readers(6, "")).hasSize(1);
    }

    @Test
    void largeFleetHasOneReaderPerGroup() {
        assertThat(readers(400, "")).hasSize(7);
    }

    /** Otherwise some hosts would learn of an endpoint's leave only by the reports that are sent in turn. */
    @Test
    void groupsOfReadersCoverEveryHostOnce() {
        List<String> covered = new ArrayList<>();
        for (String reader : readers(400, "")) {
            covered.addAll(selection(reader, 400, "").group());
        }
        assertThat(covered).hasSize(400);
        assertThat(covered).containsNoDuplicates();
    }

    @Test
    void nextHostReadsWhenReaderCannotReachStore() {
        String first = readers(6, "").get(0);
        List<String> others = new ArrayList<>(readers(6, first));
        others.remove(first);
        assertThat(others).hasSize(1);
    }

    @Test
    void hostWithoutPeersReads() {
        assertThat(selection("h1", 0, "").isReader()).isTrue();
    }

    @Test
    void silentHostsAreIgnored() {
        String first = readers(6, "").get(0);
        String second = first.equals("h0") ? "h1" : "h0";
        ReaderSelection selection = selection(second, 6, "");
        clock.advanceMs(10_000);
        assertThat(selection.rank()).isEqualTo(0);
    }
}
