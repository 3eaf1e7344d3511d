package org.dragonflygw.wire.codec;

import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.CatalogChange;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.CatalogTeam;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.CrashSuspect;
import org.dragonflygw.core.crash.EndpointLosses;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.crash.PartSuspect;
import org.dragonflygw.core.crash.SoundPart;
import org.dragonflygw.core.crash.StoredCrashes;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.peers.EndpointSum;
import org.dragonflygw.core.peers.EndpointUse;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.IncludedHost;
import org.dragonflygw.core.peers.PromptHolding;
import org.dragonflygw.core.peers.SharedPrefix;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.CatalogUpdate;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.EndpointChange;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * One of each message between hosts and each row of the store, with all fields set. The main method prints them as this
 * build writes them, for {@link EarlierBuildsTest} of later builds.
 */
final class MessageSamples {
    static final RateReport RATE = new RateReport("i-1", 17, RateNotice.limited(0.25), 30, 20);
    static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");
    static final List<EndpointSum> SUMS = List.of(new EndpointSum(17, 3, 160, 0.25), new EndpointSum(1 << 27, 1, 0, 0));
    static final List<SharedPrefix> PREFIXES = List.of(
            new SharedPrefix(17, List.of(new PromptPart(Long.MIN_VALUE, 5), new PromptPart(9, 10_512))),
            new SharedPrefix(99, List.of(new PromptPart(8, 1))));

    private MessageSamples() {}

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

    static HostReport report() {
        DiscoveredEndpoint e = new DiscoveredEndpoint("i-1", "s", "10.0.0.1", 80, "a", 8, true, 0, 4, "v1");
        StoreNews news = new StoreNews(
                0,
                true,
                9,
                20,
                3,
                List.of(new EndpointChange("i-1", Optional.of(e), 8), new EndpointChange("i-2", Optional.empty(), 9)),
                new ConfigurationNews(9, 0, 30, List.of(update())),
                new EvacuationNews(77, List.of("zone-a", "zone-b")));
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
                        List.of(new PartSuspect(91, Map.of("i-4#1", new PartSuspect.Loss(900, 300, true, 0.1)))),
                        List.of(new SoundPart(-92, 40))),
                List.of(new LeavingEndpoint("i-3", 17, 250)),
                List.of(
                        new RateReport("i-4", 18, RateNotice.limited(2.5), 400, 300),
                        new RateReport("i-5", 19, RateNotice.UNLIMITED, 40, 30),
                        new RateReport("i-6", 20, RateNotice.UNREADABLE, 60, 50, 7_000, 2.5)),
                news);
    }

    static PermitRequest permitRequest() {
        return new PermitRequest(RATE);
    }

    static PermitReply permitReply() {
        return new PermitReply(false, 250, RATE);
    }

    static OriginReply originReply() {
        return new OriginReply(Optional.of(ORIGIN), Optional.of("v2"), true);
    }

    static HostLoad hostLoad() {
        return new HostLoad("h1", 1_700_000_000_000L, SUMS, PREFIXES);
    }

    static FleetLoad fleetLoad() {
        return new FleetLoad(
                "h9", 7, 312, List.of(new IncludedHost(5, 0), new IncludedHost(1 << 27, 8_191)), SUMS, PREFIXES);
    }

    static List<String> versionRow() {
        return List.of("v1", "v2");
    }

    static CrashRow crashRow() {
        return new CrashRow(
                1_700_000_000_000L,
                new StoredCrashes(
                        List.of(new CrashSuspect(7, Set.of("e1#1", "e2#5"), 40)),
                        List.of(new PartSuspect(-9, Map.of("e3#1", new PartSuspect.Loss(800, 300, true, 0.1))))));
    }

    /** Returns the bytes of each sample as this build writes them, by name. */
    static Map<String, byte[]> encoded() {
        PeerMessageCodec messages = new PeerMessageCodec();
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        encoded.put("host-report", new HostReportCodec().encode(report()));
        encoded.put("permit-request", messages.encode(7, permitRequest()));
        encoded.put("permit-reply", messages.encode(8, permitReply()));
        encoded.put("stream-origin", messages.encode("a", ORIGIN));
        encoded.put("origin-request", messages.encode(9, "a", "s"));
        encoded.put("origin-reply", messages.encode(10, originReply()));
        encoded.put("host-load", messages.encode(hostLoad()));
        encoded.put("fleet-load", messages.encode(fleetLoad()));
        encoded.put("version-row", new VersionRowCodec().encode(versionRow()));
        encoded.put("crash-row", new CrashRowCodec().encode(crashRow()));
        return encoded;
    }

    /** Prints a line for each sample: its name and its bytes in base64. */
    public static void main(String[] args) {
        encoded()
                .forEach((name, bytes) ->
                        System.out.println(name + " " + Base64.getEncoder().encodeToString(bytes)));
    }
}
