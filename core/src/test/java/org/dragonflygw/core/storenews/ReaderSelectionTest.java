package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.junit.jupiter.api.Test;

final class ReaderSelectionTest {
    private static final HostAddress ADDRESS = new HostAddress("10.0.0.1", 7_000);

    private final ManualMonotonicClock clock = new ManualMonotonicClock();

    private ReaderSelection duty(String self, int hosts, String unreachable) {
        PeerTable peers = new PeerTable(self, new EndpointLoads(), new NoOpEventLog(), clock);
        for (int i = 0; i < hosts; i++) {
            String host = "h" + i;
            StoreNews news = new StoreNews(
                    !host.equals(unreachable), 1, 1, 0, List.of(), new ConfigurationNews(1, 1, List.of()));
            peers.onReport(new HostReport(host, ADDRESS, 1, 1, List.of(), List.of(), List.of(), news));
        }
        return new ReaderSelection(self, peers);
    }

    private List<String> readers(int hosts, String unreachable) {
        List<String> readers = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            if (duty("h" + i, hosts, unreachable).isReader()) {
                readers.add("h" + i);
            }
        }
        return readers;
    }

    @Test
    void oneHostOfASmallFleetReads() {
        assertThat(readers(6, "")).hasSize(1);
    }

    @Test
    void oneHostOfEachGroupOfALargeFleetReads() {
        assertThat(readers(400, "")).hasSize(7);
    }

    @Test
    void theNextOneReadsWhenTheFirstDoesNotReachTheStore() {
        String first = readers(6, "").get(0);
        List<String> others = new ArrayList<>(readers(6, first));
        others.remove(first);
        assertThat(others).hasSize(1);
    }

    @Test
    void aHostThatKnowsNoOtherReads() {
        assertThat(duty("h1", 0, "").isReader()).isTrue();
    }

    @Test
    void silentHostsDoNotCount() {
        String first = readers(6, "").get(0);
        String second = first.equals("h0") ? "h1" : "h0";
        ReaderSelection duty = duty(second, 6, "");
        clock.advanceMs(10_000);
        assertThat(duty.rank()).isEqualTo(0);
    }
}
