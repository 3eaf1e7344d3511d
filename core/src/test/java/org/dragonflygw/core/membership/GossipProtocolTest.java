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
    class Discovery {
        @Test
        void findsAllMembersOfTheHostList() {
            GossipTestNetwork network = GossipTestNetwork.of(24);
            network.rounds(15);
            assertThat(network.converged()).isTrue();
        }

        @Test
        void restartedDaemonHasANewIncarnation() {
            GossipTestNetwork network = GossipTestNetwork.of(6);
            network.rounds(6);
            network.start("d3", "r1");
            network.seed();
            network.rounds(8);
            assertThat(network.converged()).isTrue();
            long incarnation = network.nodes.get("d3").protocol.self().incarnation();
            assertThat(network.nodes.get("d0").protocol.members().get(3).incarnation())
                    .isEqualTo(incarnation);
        }

        @Test
        void stoppedDaemonIsReplacedByANewId() {
            GossipTestNetwork network = GossipTestNetwork.of(6);
            network.rounds(6);
            network.stop("d2");
            network.start("d9", "r1");
            network.seed();
            network.rounds(20);
            assertThat(network.converged()).isTrue();
        }

        @Test
        void detectsAnotherProcessWithItsId() {
            GossipTestNetwork network = GossipTestNetwork.of(3);
            network.rounds(3);
            GossipProtocol old = network.nodes.get("d1").protocol;
            Member other = new Member(
                    "d1", "10.0.0.9", 8082, 8081, "az-a", "r1", network.clock.millis() + 5, MemberStatus.ALIVE);
            GossipMessage message = network.nodes.get("d0").protocol.startExchange(old.self());
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
    class FailureDetection {
        @Test
        void stoppedDaemonIsSuspectFirstAndDeadLater() {
            GossipTestNetwork network = GossipTestNetwork.of(6);
            network.rounds(6);
            network.stop("d5");
            network.rounds(3);
            assertThat(network.statusOf("d5", "d0")).isEqualTo(MemberStatus.SUSPECT);
            assertThat(network.nodes.get("d0").protocol.daemonsAcceptingWork("r1"))
                    .contains("d5");
            network.rounds(9);
            assertThat(network.statusOf("d5", "d0")).isEqualTo(MemberStatus.DEAD);
        }

        @Test
        void suspectRefutesWhileOthersReachIt() {
            GossipTestNetwork network = GossipTestNetwork.of(6);
            network.rounds(6);
            network.connect((from, to) -> !(from.equals("d0") && to.equals("d5")));
            for (int i = 0; i < 60; i++) {
                network.rounds(1);
                assertThat(network.statusOf("d5", "d1")).isNotEqualTo(MemberStatus.DEAD);
            }
        }

        @Test
        void pausedDaemonDoesNotDeclareOthersDead() {
            GossipTestNetwork network = GossipTestNetwork.of(6);
            network.rounds(6);
            network.connect((from, to) -> !from.equals("d0"));
            network.rounds(1);
            network.paused.add("d0");
            network.rounds(60);
            network.paused.remove("d0");
            network.connect((from, to) -> true);
            network.rounds(1);
            assertThat(network.nodes.get("d0").protocol.members()).hasSize(6);
            network.rounds(20);
            assertThat(network.converged()).isTrue();
        }

        @Test
        void healedPartitionRejoinsBothRegionsWithoutLosingMembers() {
            GossipTestNetwork network = GossipTestNetwork.of(4);
            for (int i = 0; i < 4; i++) {
                network.start("e" + i, "r2");
            }
            network.seed();
            network.rounds(20);
            network.connect((from, to) -> from.charAt(0) == to.charAt(0));
            network.rounds(3600);
            assertThat(network.nodes.get("d0").protocol.members()).hasSize(4);
            network.connect((from, to) -> true);
            for (int i = 0; i < 30; i++) {
                network.rounds(1);
                assertThat(network.nodes.get("d0").protocol.daemonsAcceptingWork("r1"))
                        .hasSize(4);
                assertThat(network.nodes.get("e0").protocol.daemonsAcceptingWork("r2"))
                        .hasSize(4);
            }
            assertThat(network.converged()).isTrue();
        }
    }

    @Nested
    class PlannedStop {
        @Test
        void leavingDaemonIsKnownBeforeTheNextRound() {
            GossipTestNetwork network = GossipTestNetwork.of(24);
            network.rounds(15);
            network.nodes.get("d7").protocol.announceLeaving();
            network.urgentExchanges();
            long informed = network.running().stream()
                    .filter(id -> network.statusOf("d7", id) == MemberStatus.LEAVING)
                    .count();
            assertThat(informed).isAtLeast(20);
            network.rounds(4);
            assertThat(network.nodes.get("d0").protocol.daemonsAcceptingWork("r1"))
                    .doesNotContain("d7");
            network.nodes.get("d7").protocol.announceStopped();
            network.urgentExchanges();
            network.stop("d7");
            network.rounds(4);
            assertThat(network.statusOf("d7", "d0")).isEqualTo(MemberStatus.DEAD);
        }
    }

    @Nested
    class Dissemination {
        @Test
        void sheetVersionLoadsAndQuarantineReachAllDaemons() {
            GossipTestNetwork network = GossipTestNetwork.of(24);
            network.rounds(15);
            GossipTestNetwork.Node source = network.nodes.get("d3");
            source.sheets.observeVersion(new SheetVersion(7, "ab".repeat(32)));
            source.ownLoads.add(new EndpointLoad("engine-1", 1, 1, 5, 2, true, 30, network.clock.instant()));
            long until = network.clock.millis() + Duration.ofMinutes(5).toMillis();
            source.quarantine.accept(new QuarantineEntry(42, 2, until));
            network.rounds(8);
            for (GossipTestNetwork.Node node : network.nodes.values()) {
                assertThat(node.sheets.newestVersion().number()).isEqualTo(7);
                assertThat(node.quarantine.isQuarantined(42)).isTrue();
                if (node != source) {
                    assertThat(node.receivedLoads.get("engine-1").closed()).isTrue();
                }
            }
        }
    }
}
