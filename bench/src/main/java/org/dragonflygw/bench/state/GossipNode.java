package org.dragonflygw.bench.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.config.SheetReader;
import org.dragonflygw.core.membership.GossipPayloads;
import org.dragonflygw.core.membership.GossipProtocol;
import org.dragonflygw.core.membership.GossipSettings;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MemberStatus;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.HybridClock;

/** One daemon of a {@link GossipFleet}: its protocol object with what it states and hears. */
final class GossipNode {
    private static final int CONTROL_BYTES_PER_SECOND = 19_000;
    private static final int QUARANTINE_CAPACITY = 1000;
    private static final int MAX_IN_FLIGHT = 60;

    private final ManualClock clock;
    private final Random random;
    private final List<String> engines = new ArrayList<>();
    private final Map<String, EndpointLoad> heard = new HashMap<>();
    private final ActiveSheetHolder sheets = new ActiveSheetHolder(new SheetReader(), EventRecorder.DISCARD);
    private final GossipProtocol protocol;
    private String closedEngine = "";
    private List<EndpointLoad> stated = List.of();
    private long version;
    private long sentBytes;

    GossipNode(String id, String region, ManualClock clock) {
        this.clock = clock;
        random = new Random(id.hashCode());
        Member self =
                new Member(id, "10.20.130.140", 8082, 8081, region + "-a", region, clock.millis(), MemberStatus.ALIVE);
        GossipPayloads feeds = new GossipPayloads(
                sheets,
                () -> stated,
                load -> heard.put(load.endpointId(), load),
                new Quarantine(QUARANTINE_CAPACITY, clock));
        protocol = new GossipProtocol(
                self,
                GossipSettings.of(GossipFleet.INTERVAL, CONTROL_BYTES_PER_SECOND),
                feeds,
                clock,
                new HybridClock(clock),
                random,
                EventRecorder.DISCARD);
    }

    GossipProtocol protocol() {
        return protocol;
    }

    ActiveSheetHolder sheets() {
        return sheets;
    }

    void addEngine(String engine) {
        engines.add(engine);
    }

    void closeEngine(String engine) {
        closedEngine = engine;
    }

    boolean hasReceivedClosed(String engine) {
        EndpointLoad load = heard.get(engine);
        return load != null && load.closed();
    }

    /** Mean age of the loads heard, in milliseconds. */
    double meanLoadAgeMillis() {
        return heard.values().stream()
                .mapToLong(load -> clock.millis() - load.receivedAt().toEpochMilli())
                .average()
                .orElse(0);
    }

    int receivedLoadCount() {
        return heard.size();
    }

    /** Makes new load figures for all own engines. */
    void publishLoads() {
        version++;
        stated = engines.stream()
                .map(engine -> new EndpointLoad(
                        engine,
                        1_800_000_000_000L,
                        version,
                        random.nextInt(MAX_IN_FLIGHT),
                        random.nextInt(MAX_IN_FLIGHT),
                        engine.equals(closedEngine),
                        random.nextInt(1000),
                        clock.instant()))
                .toList();
    }

    void recordSentBytes(int bytes) {
        sentBytes += bytes;
    }

    long sentBytes() {
        return sentBytes;
    }
}
