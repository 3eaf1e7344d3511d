package org.dragonflygw.core.resume;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.resume.OriginDecision.Source;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which hosts are told and asked where streams began, and what is concluded from their replies. */
final class StreamOriginsTest {
    private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");
    private static final OriginReply UNKNOWN = new OriginReply(Optional.empty(), Optional.empty());
    private static final long MEMORY_MS = 60_000;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final Set<String> hosts = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final List<String> told = new ArrayList<>();
    private final Map<String, Consumer<Optional<OriginReply>>> waiting = new HashMap<>();
    private final List<OriginDecision> decisions = new ArrayList<>();
    private long listAgeMs;
    private final SoftwareVersions versions = new SoftwareVersions(() -> listAgeMs, clock);
    private final StreamOrigins origins = new StreamOrigins(
            "self",
            new HostRanking("self", () -> hosts, clock),
            h -> !silent.contains(h),
            versions,
            new Transport(),
            clock);

    private final class Transport implements OriginTransport {
        @Override
        public void tell(List<String> to, String attempt, StreamOrigin origin) {
            told.addAll(to);
        }

        @Override
        public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {
            waiting.put(host, listener);
        }
    }

    @BeforeEach
    void listHosts() {
        for (int i = 0; i < 20; i++) {
            hosts.add("h" + i);
        }
    }

    private static DiscoveredEndpoint endpoint(String id, String version) {
        return new DiscoveredEndpoint(id, "s", "10.0.0.1", 80, "a", 4, false, 0, 1, version);
    }

    private void find(String attempt) {
        origins.find(attempt, "s", decisions::add);
    }

    private void reply(OriginReply reply) {
        String host = waiting.keySet().iterator().next();
        waiting.remove(host).accept(Optional.of(reply));
    }

    private void replyAll(OriginReply reply) {
        while (!waiting.isEmpty()) {
            reply(reply);
        }
    }

    private OriginDecision decision() {
        assertThat(decisions).hasSize(1);
        return decisions.get(0);
    }

    @Nested
    final class Records {
        @Test
        void areToldToHostsThatAreAskedLater() {
            origins.onBegun("a", ORIGIN);
            assertThat(told).hasSize(4);
            origins.find("b", "s", decisions::add);
            waiting.clear();
            find("a");
            assertThat(decision().source()).isEqualTo(Source.OWN_RECORD);
            StreamOrigins other = new StreamOrigins(
                    "other", new HostRanking("other", () -> hosts, clock), h -> true, versions, new Transport(), clock);
            other.find("a", "s", d -> {});
            assertThat(waiting.keySet()).containsAtLeastElementsIn(told);
        }

        @Test
        void areNotToldToSilentHosts() {
            origins.onBegun("a", ORIGIN);
            silent.addAll(told);
            told.clear();
            origins.onBegun("a", ORIGIN);
            assertThat(told).isNotEmpty();
            assertThat(silent).containsNoneIn(told);
        }

        @Test
        void areDroppedAfterAWhile() {
            origins.onTold("a", ORIGIN);
            clock.advanceMs(121_000);
            origins.onTold("b", ORIGIN);
            assertThat(origins.reply("a", "s").origin()).isEmpty();
            assertThat(origins.reply("b", "s").origin()).hasValue(ORIGIN);
            assertThat(origins.size()).isEqualTo(1);
        }

        @Test
        void areBounded() {
            for (int i = 0; i < 40_000; i++) {
                origins.onTold("a" + i, ORIGIN);
            }
            assertThat(origins.size()).isEqualTo(16_384);
            assertThat(origins.reply("a39999", "s").origin()).hasValue(ORIGIN);
        }
    }

    @Nested
    final class Replies {
        @Test
        void ofOneHostThatKnowsAreEnough() {
            find("a");
            assertThat(waiting).hasSize(6);
            reply(UNKNOWN);
            reply(new OriginReply(Optional.of(ORIGIN), Optional.empty()));
            replyAll(UNKNOWN);
            assertThat(decision().source()).isEqualTo(Source.PEER);
            assertThat(decision().origin()).hasValue(ORIGIN);
        }

        @Test
        void ofNobodyWhoKnowsLeaveItUnknown() {
            find("a");
            reply(UNKNOWN);
            assertThat(decisions).isEmpty();
            while (!waiting.isEmpty()) {
                String host = waiting.keySet().iterator().next();
                waiting.remove(host).accept(Optional.empty());
            }
            assertThat(decision().origin()).isEmpty();
            assertThat(origins.unknownCount()).isEqualTo(1);
        }

        /** Guards against a process that has just started and believes that there was never another version. */
        @Test
        void ofAHostThatIsSureOfASingleVersionCountWithoutARecord() {
            versions.onUpdated(endpoint("e", "v2"));
            find("a");
            reply(new OriginReply(Optional.empty(), Optional.of("v1")));
            replyAll(UNKNOWN);
            assertThat(decision().origin()).hasValue(ORIGIN);
            assertThat(decision().source()).isEqualTo(Source.ONLY_VERSION);
        }

        /** Guards against hosts each of which has seen another version only. */
        @Test
        void thatNameDifferentOnlyVersionsLeaveItUnknown() {
            find("a");
            reply(new OriginReply(Optional.empty(), Optional.of("v1")));
            reply(new OriginReply(Optional.empty(), Optional.of("v2")));
            replyAll(UNKNOWN);
            assertThat(decision().origin()).isEmpty();
        }

        @Test
        void ofOneHostThatKnowsOfSeveralVersionsLeaveItUnknown() {
            find("a");
            reply(new OriginReply(Optional.empty(), Optional.of("v1")));
            reply(new OriginReply(Optional.empty(), Optional.empty(), true));
            replyAll(UNKNOWN);
            assertThat(decision().origin()).isEmpty();
        }

        @Test
        void areOverruledByTheVersionsThatThisHostHasSeen() {
            versions.onUpdated(endpoint("e", "v1"));
            versions.onUpdated(endpoint("f", "v2"));
            find("a");
            replyAll(new OriginReply(Optional.empty(), Optional.of("v1")));
            assertThat(decision().origin()).isEmpty();
        }

        @Test
        void areNotAwaitedForAStreamWhoseFirstAttemptIsNotNamed() {
            find("");
            assertThat(decision().origin()).isEmpty();
            assertThat(waiting).isEmpty();
        }
    }

    @Nested
    final class OnlyVersion {
        @Test
        void isCertainAfterTheLifeOfAStream() {
            versions.onUpdated(endpoint("e", "v1"));
            assertThat(versions.only("s")).isEmpty();
            clock.advanceMs(MEMORY_MS);
            assertThat(versions.only("s")).hasValue("v1");
        }

        @Test
        void isNoneWhileAnotherVersionServesOrHasJustLeft() {
            versions.onUpdated(endpoint("e", "v1"));
            versions.onUpdated(endpoint("f", "v2"));
            clock.advanceMs(MEMORY_MS);
            assertThat(versions.only("s")).isEmpty();
            versions.onRemoved(endpoint("f", "v2"));
            assertThat(versions.only("s")).isEmpty();
            clock.advanceMs(MEMORY_MS + 1);
            assertThat(versions.only("s")).hasValue("v1");
        }

        /** Guards against streams that are given up after all hosts have started again, though there is one version. */
        @Test
        void isCertainAtTheStartIfTheStoreSaysTheSame() {
            versions.onUpdated(endpoint("e", "v1"));
            versions.onStored("s", Set.of("v1"));
            versions.onStoreRead();
            assertThat(versions.only("s")).hasValue("v1");
        }

        @Test
        void isNoneAtTheStartIfTheStoreNamesAnother() {
            versions.onUpdated(endpoint("e", "v2"));
            versions.onStored("s", Set.of("v1", "v2"));
            versions.onStoreRead();
            assertThat(versions.only("s")).isEmpty();
            clock.advanceMs(MEMORY_MS + 1);
            assertThat(versions.only("s")).hasValue("v2");
        }

        /** Guards against a list so old that it may lack a new version. */
        @Test
        void isNoneWithAnOldList() {
            versions.onUpdated(endpoint("e", "v1"));
            clock.advanceMs(MEMORY_MS);
            listAgeMs = 6_000;
            assertThat(versions.only("s")).isEmpty();
            listAgeMs = -1;
            assertThat(versions.only("s")).isEmpty();
        }

        @Test
        void isNoneIfTheVersionIsUnknown() {
            versions.onUpdated(endpoint("e", ""));
            clock.advanceMs(MEMORY_MS);
            assertThat(versions.only("s")).isEmpty();
        }
    }
}
