package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.CatalogChange;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.CatalogTeam;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.CrashSuspect;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.EndpointLosses;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.crash.PartSuspect;
import org.dragonflygw.core.crash.SoundPart;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.EndpointUse;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PromptHolding;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.CatalogUpdate;
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

    private static CatalogUpdate update() {
        CatalogRoute route = new CatalogRoute(
                "r",
                "h",
                "/p/",
                RouteKind.STREAMING,
                3_000,
                500,
                1,
                List.of(new WeightedService("s", 3), new WeightedService("t", 1)),
                2,
                true,
                false,
                true,
                400);
        CatalogChange change = new CatalogChange(
                7,
                new CallerLimits(1, 2, 3, 4),
                true,
                List.of(route),
                List.of("gone"),
                List.of(
                        new CatalogService("s", "/h", 1, 2, 3, 4),
                        new CatalogService("cold", "/h", 1, 2, 3, 4, 20_000, 2.5)),
                List.of("t"),
                Map.of("k1", new CatalogTeam("a", OptionalInt.of(2)), "k2", new CatalogTeam("b", OptionalInt.empty())),
                List.of("k3"));
        return new CatalogUpdate(5, 9, change);
    }

    private static HostReport report() {
        DiscoveredEndpoint e = new DiscoveredEndpoint("i-1", "s", "10.0.0.1", 80, "a", 8, true, 0, 4, "v1");
        StoreNews news = new StoreNews(
                0,
                true,
                9,
                20,
                3,
                List.of(new EndpointChange("i-1", Optional.of(e), 8), new EndpointChange("i-2", Optional.empty(), 9)),
                new ConfigurationNews(9, 0, 30, List.of(update())));
        return new HostReport(
                "h1",
                new HostAddress("10.0.0.2", 7_000),
                1,
                2,
                List.of(new EndpointUse("i-1", 3, 4, 0.25)),
                List.of(new PromptHolding("i-1", List.of(new PromptPart(5, 6)))),
                new CrashReport(
                        List.of(new CrashSuspect(77, Set.of("i-1", "i-2"), 1_500)),
                        List.of(new EndpointLosses("i-3", List.of(80L, -81L), 200)),
                        List.of(78L, -79L)),
                new PartReport(
                        List.of(new PartSuspect(91, Map.of("i-4#1", new PartSuspect.Loss(900, 300)))),
                        List.of(new SoundPart(-92, 40))),
                List.of(new LeavingEndpoint("i-3", 17, 250)),
                List.of(
                        new RateReport("i-4", 18, RateNotice.limited(2.5), 400, 300),
                        new RateReport("i-5", 19, RateNotice.UNLIMITED, 40, 30),
                        new RateReport("i-6", 20, RateNotice.UNREADABLE, 60, 50, 7_000, 2.5)),
                news);
    }

    @Test
    void decodedReportEqualsTheEncodedOne() {
        assertThat(codec.decode(codec.encode(report()))).isEqualTo(report());
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
            parts.onLostAtBeginning(List.of((long) i % 100, random.nextLong()), endpoint, 0, 1);
            parts.onEndpointEnded(endpoint, 1);
        }
        HostReport empty = report();
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
        StoreNews news =
                new StoreNews(3, true, 100_100, 500, 100_000, changes, new ConfigurationNews(9, 9, 300, List.of()));
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
        byte[] whole = codec.encode(report());
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(WireException.class, () -> codec.decode(truncated));
        }
    }

    @Test
    void reportWithUnknownRouteKindIsRejected() {
        byte[] whole = codec.encode(report());
        String text = new String(whole, StandardCharsets.ISO_8859_1);
        byte[] changed = text.replace("STREAMING", "TELEPATHY").getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(WireException.class, () -> codec.decode(changed));
    }
}
