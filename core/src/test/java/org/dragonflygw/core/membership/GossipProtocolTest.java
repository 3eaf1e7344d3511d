package org.dragonflygw.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GossipProtocolTest {
    @Nested
    class Joining {
        @Test
        void findsAllMembersFromTheHostList() {
            GossipTestNetwork net = GossipTestNetwork.of(24);
            net.rounds(15);
            assertThat(net.converged()).isTrue();
        }

        @Test
        void takesARestartAsANewIncarnation() {
            GossipTestNetwork net = GossipTestNetwork.of(6);
            net.rounds(6);
            net.start("d3", "r1");
            net.seed();
            net.rounds(8);
            assertThat(net.converged()).isTrue();
            long incarnation = net.nodes.get("d3").protocol.self().incarnation();
            assertThat(net.nodes.get("d0").protocol.members().get(3).incarnation())
                    .isEqualTo(incarnation);
        }

        @Test
        void replacesAHostByAnotherId() {
            GossipTestNetwork net = GossipTestNetwork.of(6);
            net.rounds(6);
            net.stop("d2");
            net.start("d9", "r1");
            net.seed();
            net.rounds(20);
            assertThat(net.converged()).isTrue();
        }

        @Test
        void noticesAnotherProcessWithItsId() {
            GossipTestNetwork net = GossipTestNetwork.of(3);
            net.rounds(3);
            GossipProtocol old = net.nodes.get("d1").protocol;
            Member other =
                    new Member("d1", "10.0.0.9", 8082, 8081, "az-a", "r1", net.clock.millis() + 5, MemberStatus.ALIVE);
            GossipMessage message = net.nodes.get("d0").protocol.startExchange(old.self());
            old.answerExchange(new GossipMessage(
                    message.sender(),
                    0,
                    0,
                    SheetVersion.NONE,
                    List.of(other),
                    message.loads(),
                    message.quarantined(),
                    message.sentAt()));
            assertThat(old.superseded()).isTrue();
        }
    }

    @Nested
    class Failing {
        @Test
        void suspectsFirstAndDeclaresDeadLater() {
            GossipTestNetwork net = GossipTestNetwork.of(6);
            net.rounds(6);
            net.stop("d5");
            net.rounds(3);
            assertThat(net.statusOf("d5", "d0")).isEqualTo(MemberStatus.SUSPECT);
            assertThat(net.nodes.get("d0").protocol.daemonsAcceptingWork("r1")).contains("d5");
            net.rounds(9);
            assertThat(net.statusOf("d5", "d0")).isEqualTo(MemberStatus.DEAD);
        }

        @Test
        void refutesSuspicionWhileOthersReachIt() {
            GossipTestNetwork net = GossipTestNetwork.of(6);
            net.rounds(6);
            net.connect((from, to) -> !(from.equals("d0") && to.equals("d5")));
            for (int i = 0; i < 60; i++) {
                net.rounds(1);
                assertThat(net.statusOf("d5", "d1")).isNotEqualTo(MemberStatus.DEAD);
            }
        }

        @Test
        void doesNotDeclareOthersDeadAfterItsOwnPause() {
            GossipTestNetwork net = GossipTestNetwork.of(6);
            net.rounds(6);
            net.connect((from, to) -> !from.equals("d0"));
            net.rounds(1);
            net.paused.add("d0");
            net.rounds(60);
            net.paused.remove("d0");
            net.connect((from, to) -> true);
            net.rounds(1);
            assertThat(net.nodes.get("d0").protocol.members()).hasSize(6);
            net.rounds(20);
            assertThat(net.converged()).isTrue();
        }

        @Test
        void findsAPartedRegionAgainWithoutKillingItsOwn() {
            GossipTestNetwork net = GossipTestNetwork.of(4);
            for (int i = 0; i < 4; i++) {
                net.start("e" + i, "r2");
            }
            net.seed();
            net.rounds(20);
            net.connect((from, to) -> from.charAt(0) == to.charAt(0));
            net.rounds(3600);
            assertThat(net.nodes.get("d0").protocol.members()).hasSize(4);
            net.connect((from, to) -> true);
            for (int i = 0; i < 30; i++) {
                net.rounds(1);
                assertThat(net.nodes.get("d0").protocol.daemonsAcceptingWork("r1"))
                        .hasSize(4);
                assertThat(net.nodes.get("e0").protocol.daemonsAcceptingWork("r2"))
                        .hasSize(4);
            }
            assertThat(net.converged()).isTrue();
        }
    }

    @Nested
    class Leaving {
        @Test
        void isKnownBeforeTheNextRound() {
            GossipTestNetwork net = GossipTestNetwork.of(24);
            net.rounds(15);
            net.nodes.get("d7").protocol.announceLeaving();
            net.urgent();
            long told = net.running().stream()
                    .filter(id -> net.statusOf("d7", id) == MemberStatus.LEAVING)
                    .count();
            assertThat(told).isAtLeast(20);
            net.rounds(4);
            assertThat(net.nodes.get("d0").protocol.daemonsAcceptingWork("r1")).doesNotContain("d7");
            net.nodes.get("d7").protocol.announceStopped();
            net.urgent();
            net.stop("d7");
            net.rounds(4);
            assertThat(net.statusOf("d7", "d0")).isEqualTo(MemberStatus.DEAD);
        }
    }

    @Nested
    class Spreading {
        @Test
        void carriesVersionLoadsAndQuarantine() {
            GossipTestNetwork net = GossipTestNetwork.of(24);
            net.rounds(15);
            GossipTestNetwork.Node source = net.nodes.get("d3");
            source.sheets.observeVersion(new SheetVersion(7, "ab".repeat(32)));
            source.ownLoads.add(new EndpointLoad("engine-1", 1, 1, 5, 2, true, 30, net.clock.instant()));
            long until = net.clock.millis() + Duration.ofMinutes(5).toMillis();
            source.quarantine.accept(new QuarantineEntry(42, 2, until));
            net.rounds(8);
            for (GossipTestNetwork.Node node : net.nodes.values()) {
                assertThat(node.sheets.newestVersion().number()).isEqualTo(7);
                assertThat(node.quarantine.isQuarantined(42)).isTrue();
                if (node != source) {
                    assertThat(node.heardLoads.get("engine-1").closed()).isTrue();
                }
            }
        }
    }
}
