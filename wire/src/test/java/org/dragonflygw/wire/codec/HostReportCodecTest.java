package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.PromptAttempt;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.EndpointUse;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.EndpointChange;
import org.dragonflygw.core.storenews.StoreNews;
import org.junit.jupiter.api.Test;

final class HostReportCodecTest {
    /** Size of the buffer in which hosts receive a report, in bytes. */
    private static final int MAX_DATAGRAM_BYTES = 16_384;

    /** Endpoints of the largest fleets. */
    private static final int ENDPOINTS = 300;

    private final HostReportCodec codec = new HostReportCodec();

    @Test
    void decodedReportEqualsTheEncodedOne() {
        assertThat(codec.decode(codec.encode(MessageSamples.report()))).isEqualTo(MessageSamples.report());
    }

    /** Guards against reports of many losses that do not fit into a datagram. */
    @Test
    void largestReportOfLossesIsShort() {
        CrashSuspects suspects = new CrashSuspects(new NoOpEventLog());
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 10_000; i++) {
            long fingerprint = random.nextLong();
            int endpoints = i % 10 == 0 ? 20 : 1;
            for (int e = 0; e < endpoints; e++) {
                suspects.onConnectionLost(fingerprint, "i-d170b1970e#178801662" + (1_000 + (i + e) % 50), 0);
            }
        }
        CrashingParts parts = new CrashingParts(new NoOpEventLog());
        for (int i = 0; i < 10_000; i++) {
            String endpoint = "i-d170b1970e#178801662" + (1_000 + i % 50);
            PromptAttempt attempt = parts.onSent(List.of((long) i % 100, random.nextLong()), endpoint, 0);
            attempt.onBegun();
            parts.onConnectionLost(attempt, 1);
            parts.onEndpointEnded(endpoint, 1);
        }
        HostReport empty = MessageSamples.report();
        HostReport full = new HostReport(
                empty.host(),
                empty.address(),
                1,
                2,
                List.of(),
                List.of(),
                suspects.nextReport(1, 0),
                parts.nextReport(1, 0),
                List.of(),
                List.of(),
                StoreNews.NONE);
        assertThat(full.crashes().suspects()).hasSize(16);
        assertThat(full.parts().suspects()).hasSize(24);
        assertThat(codec.encode(full).length).isLessThan(MAX_DATAGRAM_BYTES);

        List<EndpointUse> uses = new ArrayList<>();
        List<RateReport> rates = new ArrayList<>();
        List<LeavingEndpoint> leaving = new ArrayList<>();
        List<EndpointChange> changes = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            uses.add(new EndpointUse("i-d170b19" + (100 + i), 60, 100_000, 1.5));
        }
        for (int i = 0; i < 80; i++) {
            rates.add(new RateReport("i-d170b19" + (100 + i), 1_788_016_621_234L, RateNotice.limited(3.25), 900, 400));
        }
        for (int i = 0; i < 32; i++) {
            leaving.add(new LeavingEndpoint("i-d170b19" + (100 + i), 1_788_016_621_234L, 20_000));
            DiscoveredEndpoint e = new DiscoveredEndpoint(
                    "i-d170b19" + (100 + i),
                    "service",
                    "10.10.10.10",
                    8_309,
                    "zone-a",
                    64,
                    false,
                    0,
                    1_788_016_621_234L,
                    "v1.1");
            changes.add(new EndpointChange(e.id(), Optional.of(e), 100_000 + i));
        }
        StoreNews news = new StoreNews(
                3,
                true,
                100_100,
                500,
                100_000,
                changes,
                new ConfigurationNews(9, 9, 300, List.of()),
                EvacuationNews.UNKNOWN);
        HostReport largest = new HostReport(
                empty.host(),
                empty.address(),
                1,
                2,
                uses,
                empty.holdings(),
                full.crashes(),
                full.parts(),
                leaving,
                rates,
                news);
        List<HostReport> forms = largest.forms();
        assertThat(codec.encode(forms.get(forms.size() - 1)).length).isLessThan(MAX_DATAGRAM_BYTES);
        assertThat(forms.get(forms.size() - 1).uses()).hasSize(ENDPOINTS);
    }

    @Test
    void truncatedReportIsRejectedAtEveryLength() {
        byte[] whole = codec.encode(MessageSamples.report());
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(WireException.class, () -> codec.decode(truncated));
        }
    }

    @Test
    void reportWithUnknownRouteKindIsRejected() {
        byte[] whole = codec.encode(MessageSamples.report());
        String text = new String(whole, StandardCharsets.ISO_8859_1);
        byte[] changed = text.replace("STREAMING", "TELEPATHY").getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(WireException.class, () -> codec.decode(changed));
    }
}
